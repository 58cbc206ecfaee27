package org.sequoiaspindle.core.coordination.forwarding.permit;

/**
 * A lease of this instance and its last confirmed renewal.
 *
 * @param lease number of the lease in the store
 * @param renewedAt time at which the last confirmed renewal was sent; the store counts the time to
 *     live from a later moment
 */
public record LeaseHold(long lease, ClockReading renewedAt, long ttlMillis) {

    /** Larger differences between the clocks count as a suspension of the machine. */
    private static final long CLOCK_TOLERANCE_MS = 300;

    /**
     * Time before the earliest end of the lease at which the instance stops relying on it, in
     * milliseconds. It covers a suspension within the tolerance and clocks of different speed.
     */
    public static final long MARGIN_MS = CLOCK_TOLERANCE_MS + 100;

    /** Returns whether the store certainly still keeps the keys under the lease. */
    public boolean isCertain(ClockReading now) {
        return renewedAt.isYoungerThan(ttlMillis - MARGIN_MS, CLOCK_TOLERANCE_MS, now);
    }
}
