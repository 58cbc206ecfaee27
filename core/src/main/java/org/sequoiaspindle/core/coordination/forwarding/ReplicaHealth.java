package org.sequoiaspindle.core.coordination.forwarding;

/**
 * Whether a replica is trusted with requests, as learned from those sent to it.
 *
 * @param failures requests without a usable answer since the last good one
 * @param ejectedUntil time until which it gets no requests, in milliseconds
 * @param ejections ejections in a row, by which the next one is longer
 */
public record ReplicaHealth(int failures, long ejectedUntil, int ejections) {

    /** Failures in a row after which a replica is left out. */
    public static final int MAX_FAILURES = 3;

    /** Length of the first ejection in milliseconds; doubles with each that follows. */
    public static final long EJECTION_MS = 500;

    private static final int MAX_DOUBLINGS = 3;

    public static final ReplicaHealth HEALTHY = new ReplicaHealth(0, 0, 0);

    public ReplicaHealth afterSuccess() {
        return HEALTHY;
    }

    /** Health after a request that got no usable answer. */
    public ReplicaHealth afterFailure(long now) {
        return failures + 1 >= MAX_FAILURES
                ? ejected(now)
                : new ReplicaHealth(failures + 1, ejectedUntil, ejections);
    }

    /** Health after the replica could not be reached at all. */
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
