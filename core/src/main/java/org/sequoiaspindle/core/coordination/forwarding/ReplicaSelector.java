package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Chooses the replica for a request. Pure functions of their arguments. */
@FunctionalInterface
public interface ReplicaSelector {

    /**
     * A replica that may be chosen.
     *
     * @param load requests that it is expected to have from all callers
     * @param ejected whether it is left out unless there is no other
     * @param local whether it is in the data centre of this instance
     */
    record Candidate(Replica replica, double load, boolean ejected, boolean local) {}

    /**
     * Chooses one of the candidates.
     *
     * @param affinityKey what requests that should meet at one replica have in common; it also
     *     decides among equals, so that not all requests go to the first of them
     * @param excluded replicas that this request has been sent to before
     */
    Optional<Replica> select(
            List<Candidate> candidates, String affinityKey, Set<ReplicaId> excluded);

    /** Load that a replica elsewhere must be below a local one to be preferred. */
    double REMOTE_PENALTY_REQUESTS = 0.5;

    /** Least load per slot; a local replica is preferred unless it has clearly more. */
    ReplicaSelector LEAST_LOADED =
            (candidates, affinityKey, excluded) ->
                    candidates.stream()
                            .filter(candidate -> !excluded.contains(candidate.replica().id()))
                            .min(
                                    Comparator.comparingDouble(ReplicaSelector::costOf)
                                            .thenComparingLong(c -> hashRank(affinityKey, c)))
                            .map(Candidate::replica);

    /** Factor over the mean load up to which the first replica in rank keeps its requests. */
    double MAX_LOAD_FACTOR = 1.5;

    /** Requests over the mean load that are always accepted, so that small loads stay together. */
    double ALWAYS_ACCEPTED_REQUESTS = 3;

    /**
     * Sends requests with the same affinity to the same replica, so that it reads what they share
     * once. All instances rank the replicas alike. A replica with too much load is passed over.
     */
    ReplicaSelector HASH_AFFINITY =
            (candidates, affinityKey, excluded) -> {
                List<Candidate> usable =
                        candidates.stream()
                                .filter(c -> !c.ejected() && !excluded.contains(c.replica().id()))
                                .toList();
                if (usable.isEmpty() || affinityKey.isEmpty()) {
                    return LEAST_LOADED.select(candidates, affinityKey, excluded);
                }
                double limit = loadLimit(usable);
                return usable.stream()
                        .filter(candidate -> candidate.load() <= limit)
                        .max(
                                (a, b) ->
                                        Long.compareUnsigned(
                                                hashRank(affinityKey, a), hashRank(affinityKey, b)))
                        .map(Candidate::replica);
            };

    /** Load above which a replica is crowded compared with the others. */
    static double loadLimit(List<Candidate> candidates) {
        double mean = candidates.stream().mapToDouble(Candidate::load).average().orElse(0);
        return mean * MAX_LOAD_FACTOR + ALWAYS_ACCEPTED_REQUESTS;
    }

    /** Cost above every load, so that an ejected replica is taken only if there is no other. */
    double EJECTED_COST = 1e6;

    private static double costOf(Candidate candidate) {
        double penalty = candidate.local() ? 0 : REMOTE_PENALTY_REQUESTS;
        double perSlot = (candidate.load() + penalty) / Math.max(1, candidate.replica().slots());
        return candidate.ejected() ? EJECTED_COST + perSlot : perSlot;
    }

    private static long hashRank(String affinityKey, Candidate candidate) {
        return StableHash.of(affinityKey, candidate.replica().id().toString());
    }
}
