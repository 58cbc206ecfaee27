package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Selects the replica for a request. Implementations are pure functions. */
@FunctionalInterface
public interface ReplicaSelector {

    /**
     * A replica that may be selected.
     *
     * @param load expected number of its requests in flight from all callers
     * @param ejected whether its recent failures exclude it unless there is no other replica
     * @param local whether it is in the data centre of this instance
     */
    record Candidate(Replica replica, double load, boolean ejected, boolean local) {}

    /**
     * Selects one of the candidates.
     *
     * @param affinityKey key common to the requests that should go to the same replica; it also
     *     breaks ties, so that not all requests go to the first of several equal replicas
     * @param excluded replicas that this request has already been sent to
     */
    Optional<Replica> select(
            List<Candidate> candidates, String affinityKey, Set<ReplicaId> excluded);

    /** Load by which a remote replica must be below a local one to be preferred, in requests. */
    double REMOTE_PENALTY_REQUESTS = 0.5;

    /**
     * Selects the replica with the lowest load per slot, with a slight preference for local ones.
     */
    ReplicaSelector LEAST_LOADED =
            (candidates, affinityKey, excluded) ->
                    candidates.stream()
                            .filter(candidate -> !excluded.contains(candidate.replica().id()))
                            .min(
                                    Comparator.comparingDouble(ReplicaSelector::costOf)
                                            .thenComparingLong(c -> hashRank(affinityKey, c)))
                            .map(Candidate::replica);

    /** Multiple of the mean load up to which the replica with the highest rank is selected. */
    double MAX_LOAD_FACTOR = 1.5;

    /** Requests always allowed above the mean load, so that affinity holds under light load. */
    double ALWAYS_ACCEPTED_REQUESTS = 3;

    /**
     * Sends requests with the same affinity key to the same replica by rendezvous hashing, so that
     * the replica processes their common prompt parts once. All instances rank the replicas alike.
     * Overloaded replicas are skipped.
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

    /** Load above which a replica counts as overloaded compared with the others. */
    static double loadLimit(List<Candidate> candidates) {
        double mean = candidates.stream().mapToDouble(Candidate::load).average().orElse(0);
        return mean * MAX_LOAD_FACTOR + ALWAYS_ACCEPTED_REQUESTS;
    }

    /** Exceeds every load, so that an ejected replica is selected only if there is no other. */
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
