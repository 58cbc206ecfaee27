package org.sequoiaspindle.core.coordination.forwarding.permit;

/**
 * Both clocks at one moment. The monotonic clock stops while a machine is suspended and the wall
 * clock does not, so a difference between the two reveals a suspension.
 */
public record ClockReading(long monotonicMillis, long wallMillis) {

    /**
     * Returns whether less than the given time has passed since this reading on both clocks, and
     * the clocks agree on it.
     *
     * @param toleranceMillis difference between the clocks above which the machine was suspended or
     *     the wall clock was set
     */
    public boolean isYoungerThan(long maxAgeMillis, long toleranceMillis, ClockReading now) {
        long elapsed = now.monotonicMillis - monotonicMillis;
        long wallElapsed = now.wallMillis - wallMillis;
        return Math.max(elapsed, wallElapsed) < maxAgeMillis
                && Math.abs(wallElapsed - elapsed) <= toleranceMillis;
    }
}
