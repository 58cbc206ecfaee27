package org.sequoiaspindle.core.coordination.forwarding.admission;

/**
 * Time at which the store last confirmed the configuration, which contains the API keys.
 *
 * <p>The monotonic clock stops while a machine is suspended and the wall clock does not, so a
 * difference between the two reveals a suspension.
 *
 * @param monotonicMillis monotonic time at which the confirming read was sent
 * @param wallMillis wall time at the same moment
 */
public record KeyConfirmation(long monotonicMillis, long wallMillis) {

    /** Larger differences between the clocks count as a suspension or a step of the wall clock. */
    public static final long CLOCK_TOLERANCE_MS = 300;

    /** No confirmation yet. */
    public static final KeyConfirmation NONE =
            new KeyConfirmation(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /**
     * Returns whether the confirmation is recent enough to accept the keys.
     *
     * @param maxAgeMillis age up to which a confirmation is valid
     */
    public boolean isValid(long monotonicNow, long wallNow, long maxAgeMillis) {
        long elapsed = monotonicNow - monotonicMillis;
        long wallElapsed = wallNow - wallMillis;
        return elapsed <= maxAgeMillis && Math.abs(wallElapsed - elapsed) <= CLOCK_TOLERANCE_MS;
    }
}
