package org.sequoiaspindle.core.coordination.forwarding;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/** Status of each replica. Thread-safe. */
public final class ReplicaStatuses {

    private final String dataCentre;
    private final ConcurrentMap<ReplicaId, ReplicaStatus> statuses = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param dataCentre data centre of this instance
     */
    public ReplicaStatuses(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    public ReplicaStatus statusOf(Replica replica) {
        return statuses.computeIfAbsent(replica.id(), id -> new ReplicaStatus());
    }

    /** Returns the replicas with the load, health and locality that a selection depends on. */
    public List<Candidate> candidates(List<Replica> replicas, long now) {
        return replicas.stream()
                .map(
                        replica -> {
                            ReplicaStatus status = statusOf(replica);
                            return new Candidate(
                                    replica,
                                    status.expectedLoad(now),
                                    status.health().isEjected(now),
                                    replica.dataCentre().equals(dataCentre));
                        })
                .toList();
    }

    /** Removes the replicas that are not in the table and have no requests in flight. */
    public void retainOnly(ReplicaTable table) {
        statuses.entrySet()
                .removeIf(
                        entry ->
                                !table.contains(entry.getKey())
                                        && entry.getValue().inFlight() == 0);
    }
}
