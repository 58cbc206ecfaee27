package org.sequoiaspindle.core.state.forwarding;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Until when each replica counts as cold. Immutable. All times are those of this instance's
 * monotonic clock, so that the time a statement takes to arrive makes the cold time longer, never
 * shorter.
 */
public final class ColdEndpoints {

    /** No replica has been seen. */
    public static final ColdEndpoints EMPTY = new ColdEndpoints(HashMap.empty(), HashMap.empty());

    /**
     * Time for which a replica without a registration is remembered, in milliseconds. A replica
     * that registers again after an outage of the store has not started again.
     */
    static final long RETENTION_MS = 600_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * What is known of a replica.
     *
     * @param revision latest revision of its registration
     * @param statedUntil end of the cold time by its own statements
     * @param lastSeenAt latest time at which it was registered
     */
    private record Observation(long revision, long statedUntil, long lastSeenAt) {}

    private final Map<ReplicaId, Observation> observations;
    private final Map<String, Long> restoredAt;

    private ColdEndpoints(Map<ReplicaId, Observation> observations, Map<String, Long> restoredAt) {
        this.observations = observations;
        this.restoredAt = restoredAt;
    }

    /**
     * Returns the state after a registration was read. A registration that has already been read
     * changes nothing, since a listing repeats what the replica stated long ago.
     */
    public ColdEndpoints withRegistration(Replica replica, long revision, long now) {
        Observation known =
                observations.getOrElse(replica.id(), new Observation(NEVER, NEVER, now));
        if (revision <= known.revision()) {
            return this;
        }
        return with(
                replica.id(),
                new Observation(
                        revision,
                        Math.max(known.statedUntil(), endOf(replica.coldMillis(), now)),
                        now));
    }

    /** Returns the state after a replica stated in an answer for how long it stays cold. */
    public ColdEndpoints withStatement(ReplicaId replica, long coldMillis, long now) {
        return observations
                .get(replica)
                .filter(known -> endOf(coldMillis, now) > known.statedUntil())
                .map(
                        known ->
                                with(
                                        replica,
                                        new Observation(
                                                known.revision(),
                                                endOf(coldMillis, now),
                                                known.lastSeenAt())))
                .getOrElse(this);
    }

    /**
     * Returns the state after a data centre was restored. Its replicas may have become cold shortly
     * before, without this instance having read it.
     */
    public ColdEndpoints withRestored(String dataCentre, long now) {
        return new ColdEndpoints(observations, restoredAt.put(dataCentre, now));
    }

    /** Returns the state without replicas that have long not been registered. */
    public ColdEndpoints retaining(ReplicaTable table, long now) {
        Map<ReplicaId, Observation> retained =
                observations
                        .filter(
                                (id, known) ->
                                        table.contains(id)
                                                || now - known.lastSeenAt() <= RETENTION_MS)
                        .map(
                                (id, known) ->
                                        io.vavr.Tuple.of(
                                                id,
                                                table.contains(id)
                                                        ? new Observation(
                                                                known.revision(),
                                                                known.statedUntil(),
                                                                now)
                                                        : known));
        return new ColdEndpoints(retained, restoredAt);
    }

    /**
     * Returns the time at which a replica stops being cold. A replica of which no registration has
     * been read counts as cold.
     */
    public long coldUntil(Replica replica, ColdSpec spec) {
        long sinceRestored =
                restoredAt
                        .get(replica.dataCentre())
                        .map(at -> at + spec.durationMillis())
                        .getOrElse(NEVER);
        return observations
                .get(replica.id())
                .map(known -> Math.max(known.statedUntil(), sinceRestored))
                .getOrElse(Long.MAX_VALUE);
    }

    private ColdEndpoints with(ReplicaId replica, Observation observation) {
        return new ColdEndpoints(observations.put(replica, observation), restoredAt);
    }

    private static long endOf(long coldMillis, long now) {
        return coldMillis > 0 ? now + coldMillis : NEVER;
    }
}
