package org.sequoiaspindle.core.coordination.forwarding.replica;

/**
 * What a replica has said about itself in its answers to this instance. Unlike the result of the
 * passive health check, it excludes the replica even if no other is left.
 *
 * @param leavingSince time at which the replica announced its shutdown, in milliseconds
 * @param pausedUntil time until which the replica asked not to receive requests, in milliseconds
 */
public record ReplicaAvailability(long leavingSince, long pausedUntil) {

    /** Limit of the time for which a replica can exclude itself, in milliseconds. */
    public static final long MAX_PAUSE_MS = 3_600_000;

    /**
     * Time for which an announcement is kept after the registration of the replica has gone, in
     * milliseconds. A delayed listing of the registrations can contain the replica again.
     */
    static final long LEAVING_RETENTION_MS = 600_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    static final ReplicaAvailability AVAILABLE = new ReplicaAvailability(NEVER, NEVER);

    /** Returns the availability after an announcement, which is final. */
    ReplicaAvailability afterLeaving(long now) {
        return isLeaving() ? this : new ReplicaAvailability(now, pausedUntil);
    }

    /** Returns the availability after a request for a pause; a longer earlier pause remains. */
    ReplicaAvailability afterPause(long millis, long now) {
        long until = now + Math.min(millis, MAX_PAUSE_MS);
        return until <= pausedUntil ? this : new ReplicaAvailability(leavingSince, until);
    }

    public boolean isLeaving() {
        return leavingSince != NEVER;
    }

    boolean hasAskedForPause() {
        return pausedUntil != NEVER;
    }

    boolean isPaused(long now) {
        return now < pausedUntil;
    }

    boolean acceptsRequests(long now) {
        return !isLeaving() && !isPaused(now);
    }

    /** Returns whether the values no longer matter for a replica without a registration. */
    boolean isExpired(long now) {
        return !isPaused(now) && (!isLeaving() || now - leavingSince > LEAVING_RETENTION_MS);
    }
}
