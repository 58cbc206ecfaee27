package org.sequoiaspindle.core.coordination.forwarding.admission;

/**
 * Decides during a drain whether a request may still be executed by this instance. A request that
 * would still be running at the end of the drain would be cut off, while another instance can serve
 * it at once. Immutable.
 *
 * @param stopsAt time at which the remaining requests are ended, in milliseconds; {@link
 *     Long#MAX_VALUE} while the instance is not draining
 */
public record DrainAdmission(long stopsAt) {

    /** The instance is not draining. */
    public static final DrainAdmission NOT_DRAINING = new DrainAdmission(Long.MAX_VALUE);

    /**
     * Returns whether a request can be completed.
     *
     * @param remainingMillis expected time until the end of its response
     */
    public boolean canComplete(long now, long remainingMillis) {
        return !isDraining() || remainingMillis <= stopsAt - now;
    }

    /** Returns the deadline of a request that is accepted now. */
    public long limitDeadline(long deadline) {
        return Math.min(deadline, stopsAt);
    }

    public boolean isDraining() {
        return stopsAt != Long.MAX_VALUE;
    }

    /**
     * Returns the time for which requests are accepted after the start of a drain, in milliseconds.
     *
     * @param usualMillis time until no client is directed to the instance any more
     * @param drainMillis duration of the drain
     */
    public static long acceptMillis(long usualMillis, long drainMillis) {
        return Math.min(usualMillis, drainMillis / 2);
    }
}
