package org.sequoiaspindle.core.coordination.forwarding.replica;

import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/**
 * Estimate of the share of its usual rate that a replica carries. It falls at once and rises only
 * with time, so that answers which arrive together do not count several times. Immutable.
 *
 * @param capacity share at {@code updatedAt}
 * @param updatedAt time from which the share rises, in milliseconds; may be in the future
 * @param provenUntil time until which the share rises fast, because of a sound answer
 * @param slowdown smoothed execution time reported by the replica, 1 if usual
 * @param reportedAt time of the last report of the execution time, in milliseconds
 * @param failures consecutive attempts without a usable answer
 * @param fallen whether observations have lowered the share since it was last 1
 */
public record EndpointPace(
        double capacity,
        long updatedAt,
        long provenUntil,
        double slowdown,
        long reportedAt,
        int failures,
        boolean fallen) {

    /** Smallest share. Between idle replicas it still leaves one in twenty of the requests. */
    public static final double MIN_CAPACITY = 0.05;

    /** Share of a replica that has just been registered. */
    public static final double START_CAPACITY = 0.05;

    /** Time in which the share rises by 1 after sound answers, in milliseconds. */
    public static final long PROVEN_RISE_MS = 4_000;

    /**
     * Time in which the share rises by 1 without an answer, in milliseconds. With 87 instances an
     * instance sees an answer of each replica only every 20 s, so this bounds the age at which an
     * estimate has no effect.
     */
    public static final long IDLE_RISE_MS = 20_000;

    /** Time for which a sound answer makes the share rise fast, in milliseconds. */
    static final long PROOF_MS = 2_000;

    /** Time over which instances begin to use a new replica, in milliseconds. */
    static final long START_SPREAD_MS = 2_000;

    private static final double REFUSAL_FACTOR = 0.5;

    /**
     * Time after a failure in which the share does not rise without an answer, in milliseconds. It
     * doubles with each consecutive failure up to a limit: the requests that probe a replica which
     * always fails are lost to their callers.
     */
    private static final long FAILURE_HOLD_MS = 2_000;

    private static final int MAX_DOUBLINGS = 3;

    /** Slowdown that is ignored: the reported execution time varies around the usual one. */
    private static final double IGNORED_SLOWDOWN = 1.25;

    /** Multiple of the usual time to the first byte that is ignored; prompts differ in cost. */
    private static final double IGNORED_DELAY = 2;

    /** Weight of a new report. The reported figure changes many times a second. */
    private static final double REPORT_WEIGHT = 0.5;

    /** Time constant with which an earlier report loses its influence, in milliseconds. */
    private static final double REPORT_DECAY_MS = 5_000;

    private static final double PERCENT = 100;

    /** Pace of a replica that carries its usual rate. */
    public static final EndpointPace USUAL = new EndpointPace(1, 0, 0, 1, 0, 0, false);

    /**
     * Returns the pace of a replica that has just been registered. It rises fast by itself, because
     * an instance may see no answer of the replica for many seconds, and nothing speaks against it.
     *
     * @param spread number from 0 to 1 that differs between instances, so that they do not all
     *     begin to use the replica at the same time
     */
    public static EndpointPace starting(long now, double spread) {
        long risesFrom = now + (long) (spread * START_SPREAD_MS);
        return new EndpointPace(
                START_CAPACITY, risesFrom, risesFrom + PROVEN_RISE_MS, 1, now, 0, false);
    }

    /** Returns the share at a time, above 0 and at most 1. */
    public double capacityAt(long now) {
        long elapsed = Math.max(0, now - updatedAt);
        long proven = Math.max(0, Math.min(elapsed, provenUntil - updatedAt));
        double risen =
                (double) proven / PROVEN_RISE_MS + (double) (elapsed - proven) / IDLE_RISE_MS;
        return Math.min(1, capacity + risen);
    }

    /** Returns the pace after a success. */
    public EndpointPace afterSoundAnswer(long now) {
        double current = capacityAt(now);
        return current >= 1
                ? new EndpointPace(1, now, now, slowdown, reportedAt, 0, false)
                : new EndpointPace(current, now, now + PROOF_MS, slowdown, reportedAt, 0, fallen);
    }

    /**
     * Returns the pace after a load report, which can lower or limit the share but not raise it.
     */
    public EndpointPace afterReport(ReplicaLoad load, long now) {
        double reported = load.pacePercent() <= 0 ? 1 : load.pacePercent() / PERCENT;
        double earlier =
                1 + (slowdown - 1) * Math.exp(-Math.max(0, now - reportedAt) / REPORT_DECAY_MS);
        double smoothed = earlier + REPORT_WEIGHT * (reported - earlier);
        int slots = Math.max(1, load.slots());
        double queueShare = (double) slots / (slots + Math.max(0, load.waiting()));
        return new EndpointPace(capacity, updatedAt, provenUntil, smoothed, now, failures, fallen)
                .limitedTo(Math.min(1, IGNORED_SLOWDOWN / smoothed) * queueShare, now);
    }

    /**
     * Returns the pace after the first byte of an answer.
     *
     * @param ratio time to the first byte as a multiple of what most requests of this size need
     */
    public EndpointPace afterFirstByte(double ratio, long now) {
        return ratio <= IGNORED_DELAY ? this : limitedTo(IGNORED_DELAY / ratio, now);
    }

    /**
     * Returns the pace after the replica turned a request away.
     *
     * @param pauseMillis time for which it asked for no requests; the share does not rise meanwhile
     */
    public EndpointPace afterRefusal(long pauseMillis, long now) {
        long pause = Math.min(pauseMillis, ReplicaAvailability.MAX_PAUSE_MS);
        return fallenTo(capacityAt(now) * REFUSAL_FACTOR, now + pause, failures);
    }

    /** Returns the pace after an attempt without a usable answer. */
    public EndpointPace afterFailure(long now) {
        long hold = FAILURE_HOLD_MS << Math.min(failures, MAX_DOUBLINGS);
        return fallenTo(MIN_CAPACITY, now + hold, failures + 1);
    }

    /** Returns the pace under a limit, beyond which a sound answer does not make it rise. */
    private EndpointPace limitedTo(double limit, long now) {
        double current = capacityAt(now);
        if (limit < current) {
            return fallenTo(limit, now, failures);
        }
        long limitReachedAt = now + (long) ((limit - current) * PROVEN_RISE_MS);
        return new EndpointPace(
                current,
                Math.max(now, updatedAt),
                Math.min(provenUntil, limitReachedAt),
                slowdown,
                reportedAt,
                failures,
                fallen);
    }

    private EndpointPace fallenTo(double share, long risesFrom, int failureCount) {
        long from = Math.max(risesFrom, updatedAt);
        return new EndpointPace(
                Math.max(MIN_CAPACITY, share),
                from,
                from,
                slowdown,
                reportedAt,
                failureCount,
                true);
    }
}
