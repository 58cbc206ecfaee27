package org.sequoiaspindle.core.coordination.forwarding.permit;

import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Permit to send one request to a cold replica.
 *
 * @param askedAt time at which this instance asked for the permit, which is before the issuer
 *     counted it
 */
public record SendPermit(ReplicaId replica, ClockReading askedAt) {

    /** Time from the question within which the request must be sent, in milliseconds. */
    public static final long LIFETIME_MS = 500;

    /** Adjustments of the wall clock move it by less than a millisecond in this time. */
    private static final long CLOCK_TOLERANCE_MS = 50;

    public boolean isUsable(ClockReading now) {
        return askedAt.isYoungerThan(LIFETIME_MS, CLOCK_TOLERANCE_MS, now);
    }
}
