package org.sequoiaspindle.core.state;

/**
 * Time by which a request must be answered, on a monotonic clock.
 *
 * @param atMillis time of the clock in milliseconds
 */
public record Deadline(long atMillis) implements Comparable<Deadline> {

    /** Returns the deadline {@code remainingMillis} after {@code now}. */
    public static Deadline after(long now, long remainingMillis) {
        return new Deadline(now + remainingMillis);
    }

    /** Returns the remaining time in milliseconds, never negative. */
    public long remaining(long now) {
        return Math.max(0, atMillis - now);
    }

    public boolean hasPassed(long now) {
        return now >= atMillis;
    }

    @Override
    public int compareTo(Deadline other) {
        return Long.compare(atMillis, other.atMillis);
    }
}
