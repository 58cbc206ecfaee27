package org.sequoiaspindle.core.coordination.forwarding.replica;

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
     * @param load expected number of requests in flight at the replica from all callers, divided by
     *     the capacity
     * @param ejected whether recent failures exclude the replica unless there is no other
     * @param local whether the replica is in the data centre of this instance
     * @param capacity share of its usual rate that the replica carries, above 0 and at most 1
     */
    record Candidate(
            Replica replica, double load, boolean ejected, boolean local, double capacity) {

        /** Order by capacity that leaves the order of replicas of the same capacity. */
        public static final Comparator<Candidate> FASTEST_FIRST =
                Comparator.comparingDouble(Candidate::capacity).reversed();

        /** Creates a candidate that carries its usual rate. */
        public Candidate(Replica replica, double load, boolean ejected, boolean local) {
            this(replica, load, ejected, local, 1);
        }
    }

    /**
     * Selects one of the candidates.
     *
     * @param affinityKey key common to the requests that should go to the same replica; the key
     *     also breaks ties, so that not all requests go to the first of several equal replicas
     * @param excludedReplicas replicas that this request has already been sent to
     */
    Optional<Replica> select(
            List<Candidate> candidates, String affinityKey, Set<ReplicaId> excludedReplicas);

    /**
     * Number of requests by which the load of a remote replica must be below that of a local
     * replica for the remote replica to be preferred.
     */
    double REMOTE_PENALTY_REQUESTS = 0.5;

    /**
     * Selects the replica with the lowest load per slot, with a slight preference for local
     * replicas.
     */
    ReplicaSelector LEAST_LOADED =
            (candidates, affinityKey, excludedReplicas) ->
                    candidates.stream()
                            .filter(
                                    candidate ->
                                            !excludedReplicas.contains(candidate.replica().id()))
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
     * the replica processes the common prompt parts of the requests once. All instances rank the
     * replicas alike. Overloaded replicas are skipped, and a replica of a lower capacity is first
     * for fewer keys in proportion, without a change for keys that it was not first for.
     */
    ReplicaSelector HASH_AFFINITY =
            (candidates, affinityKey, excludedReplicas) -> {
                List<Candidate> eligibleCandidates =
                        candidates.stream()
                                .filter(
                                        c ->
                                                !c.ejected()
                                                        && !excludedReplicas.contains(
                                                                c.replica().id()))
                                .toList();
                if (eligibleCandidates.isEmpty() || affinityKey.isEmpty()) {
                    return LEAST_LOADED.select(candidates, affinityKey, excludedReplicas);
                }
                double limit = loadLimit(eligibleCandidates);
                return eligibleCandidates.stream()
                        .filter(candidate -> candidate.load() <= limit)
                        .max((a, b) -> compareRanks(affinityKey, a, b))
                        .map(Candidate::replica);
            };

    /**
     * Returns the load above which a replica counts as overloaded compared with the other
     * candidates.
     */
    static double loadLimit(List<Candidate> candidates) {
        double requests = candidates.stream().mapToDouble(c -> c.load() * c.capacity()).sum();
        double capacity = candidates.stream().mapToDouble(Candidate::capacity).sum();
        double mean = capacity > 0 ? requests / capacity : 0;
        return mean * MAX_LOAD_FACTOR + ALWAYS_ACCEPTED_REQUESTS;
    }

    /**
     * Cost added for an ejected replica. It exceeds every load, so that the replica is selected
     * only if there is no other.
     */
    double EJECTED_COST = 1e6;

    /** Number of low bits of a hash that a number from 0 to 1 does not hold. */
    int UNUSED_HASH_BITS = 12;

    double HASH_RANGE = 0x1p52;

    double HALF = 0.5;

    private static double costOf(Candidate candidate) {
        double remotePenalty = candidate.local() ? 0 : REMOTE_PENALTY_REQUESTS;
        double loadPerSlot =
                (candidate.load() + ownCost(candidate) + remotePenalty)
                        / Math.max(1, candidate.replica().slots());
        return candidate.ejected() ? EJECTED_COST + loadPerSlot : loadPerSlot;
    }

    /**
     * Returns by how much more the request itself would load the replica than one that carries its
     * usual rate. Without it, a slow replica would equal a usual one while both are idle.
     */
    private static double ownCost(Candidate candidate) {
        return 1 / candidate.capacity() - 1;
    }

    /** Compares by weighted rendezvous hashing; equal capacities leave the order of the hashes. */
    private static int compareRanks(String affinityKey, Candidate a, Candidate b) {
        long first = hashRank(affinityKey, a);
        long second = hashRank(affinityKey, b);
        return a.capacity() == b.capacity()
                ? Long.compareUnsigned(first, second)
                : Double.compare(weighted(first, a.capacity()), weighted(second, b.capacity()));
    }

    private static double weighted(long hash, double capacity) {
        double uniform = ((hash >>> UNUSED_HASH_BITS) + HALF) / HASH_RANGE;
        return -capacity / Math.log(uniform);
    }

    private static long hashRank(String affinityKey, Candidate candidate) {
        return StableHash.of(affinityKey, candidate.replica().id().toString());
    }
}
