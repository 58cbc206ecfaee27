package org.sequoiaspindle.core.coordination.forwarding;

/**
 * When the store last confirmed the configuration that holds the API keys.
 *
 * <p>The monotonic clock stops while a machine is suspended. The wall clock does not, so that a
 * difference between the two shows that time has passed unnoticed.
 *
 * @param monotonicMillis monotonic time at which the confirming read was sent
 * @param wallMillis wall time at the same moment
 */
public record KeyConfirmation(long monotonicMillis, long wallMillis) {

    /** Difference between the clocks that is taken for a suspension or a step of the wall clock. */
    public static final long CLOCK_TOLERANCE_MS = 300;

    /** Stands for no confirmation yet. */
    public static final KeyConfirmation NONE =
            new KeyConfirmation(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /**
     * Whether the keys may be relied on.
     *
     * @param maxAgeMillis age up to which a confirmation holds
     */
    public boolean isValid(long monotonicNow, long wallNow, long maxAgeMillis) {
        long elapsed = monotonicNow - monotonicMillis;
        long wallElapsed = wallNow - wallMillis;
        return elapsed <= maxAgeMillis && Math.abs(wallElapsed - elapsed) <= CLOCK_TOLERANCE_MS;
    }
}
