package org.sequoiaspindle.core.state;

/**
 * Point of a monotonic clock by which a request must be answered.
 *
 * @param atMillis reading of the clock, in milliseconds
 */
public record Deadline(long atMillis) implements Comparable<Deadline> {

    /** Deadline that lies the given number of milliseconds after {@code now}. */
    public static Deadline after(long now, long remainingMillis) {
        return new Deadline(now + remainingMillis);
    }

    /** Milliseconds left, never negative. */
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
