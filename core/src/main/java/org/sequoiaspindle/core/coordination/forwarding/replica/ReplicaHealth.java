package org.sequoiaspindle.core.coordination.forwarding.replica;

/**
 * Passive health check of a replica, based on the results of requests to the replica.
 *
 * @param failures consecutive requests without a usable response
 * @param ejectedUntil time until which the replica receives no requests, in milliseconds
 * @param ejections number of consecutive ejections, which determines the duration of the next one
 */
public record ReplicaHealth(int failures, long ejectedUntil, int ejections) {

    /** Consecutive failures after which a replica is ejected. */
    public static final int MAX_FAILURES = 3;

    /**
     * Duration of the first ejection in milliseconds. Each consecutive ejection lasts twice as long
     * as the previous one, up to a limit.
     */
    public static final long EJECTION_MS = 500;

    private static final int MAX_DOUBLINGS = 3;

    public static final ReplicaHealth HEALTHY = new ReplicaHealth(0, 0, 0);

    public ReplicaHealth afterSuccess() {
        return HEALTHY;
    }

    /** Returns the health after a request without a usable response. */
    public ReplicaHealth afterFailure(long now) {
        return failures + 1 >= MAX_FAILURES
                ? ejected(now)
                : new ReplicaHealth(failures + 1, ejectedUntil, ejections);
    }

    /** Returns the health after a failed connection attempt, which ejects the replica at once. */
    public ReplicaHealth afterConnectFailure(long now) {
        return ejected(now);
    }

    public boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    private ReplicaHealth ejected(long now) {
        long length = EJECTION_MS << Math.min(ejections, MAX_DOUBLINGS);
        return new ReplicaHealth(MAX_FAILURES - 1, now + length, ejections + 1);
    }
}
