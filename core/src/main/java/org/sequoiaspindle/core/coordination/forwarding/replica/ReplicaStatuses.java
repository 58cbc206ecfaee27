package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/** Status of each replica. Thread-safe. */
public final class ReplicaStatuses {

    private final String dataCentre;
    private final SendRule sendRule;
    private final ConcurrentMap<ReplicaId, ReplicaStatus> statuses = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param dataCentre data centre of this instance
     */
    public ReplicaStatuses(String dataCentre) {
        this(dataCentre, SendRule.UNRESTRICTED);
    }

    /**
     * Creates an empty set.
     *
     * @param dataCentre data centre of this instance
     * @param sendRule rule on sending requests to replicas
     */
    public ReplicaStatuses(String dataCentre, SendRule sendRule) {
        this.dataCentre = dataCentre;
        this.sendRule = sendRule;
    }

    public ReplicaStatus statusOf(Replica replica) {
        return statuses.computeIfAbsent(replica.id(), id -> new ReplicaStatus());
    }

    /** Returns the terms on which requests may be sent to a replica. */
    public SendTerms termsFor(Replica replica, long now) {
        return sendRule.termsFor(replica, now);
    }

    /**
     * Returns whether nothing may be sent to a replica. To be asked again just before the first
     * byte, because the replica may have been closed while a connection was opened.
     */
    public boolean isClosed(Replica replica, long now) {
        return termsFor(replica, now).isClosed();
    }

    /** Returns the number of replicas to which something may be sent. */
    public int countOpen(List<Replica> replicas, long now) {
        return (int) replicas.stream().filter(replica -> !isClosed(replica, now)).count();
    }

    /**
     * Returns whether a replica has neither announced its shutdown nor asked for a pause, and may
     * be sent requests.
     */
    public boolean acceptsRequests(Replica replica, long now) {
        return statusOf(replica).availability().acceptsRequests(now) && !isClosed(replica, now);
    }

    /** Returns the replicas that have not announced their shutdown and may be sent requests. */
    public List<Replica> withoutClosed(List<Replica> replicas, long now) {
        return replicas.stream().filter(replica -> !isLeavingOrClosed(replica, now)).toList();
    }

    private boolean isLeavingOrClosed(Replica replica, long now) {
        return statusOf(replica).availability().isLeaving() || isClosed(replica, now);
    }

    /** Returns the replicas that have not announced their shutdown and need no permits. */
    public List<Replica> withoutRestricted(List<Replica> replicas, long now) {
        return withoutClosed(replicas, now).stream()
                .filter(replica -> !termsFor(replica, now).needsPermit())
                .toList();
    }

    /** Returns whether calls, for which there are no permits, may be sent to a replica. */
    public boolean acceptsCalls(Replica replica, long now) {
        SendTerms terms = termsFor(replica, now);
        return !terms.isClosed() && !terms.needsPermit();
    }

    /** Returns whether a replica accepts requests that have no permit. */
    public boolean acceptsWithoutPermit(Replica replica, long now) {
        return acceptsRequests(replica, now) && !termsFor(replica, now).needsPermit();
    }

    /**
     * Returns the time until the first of the replicas accepts requests, in milliseconds: 0 if one
     * does now, and empty if all of them are leaving or closed.
     */
    public OptionalLong millisUntilAvailable(List<Replica> replicas, long now) {
        return withoutClosed(replicas, now).stream()
                .map(replica -> statusOf(replica).availability())
                .mapToLong(availability -> Math.max(0, availability.pausedUntil() - now))
                .min();
    }

    /**
     * Returns the replicas that accept requests, with the load, health and locality that a
     * selection depends on.
     */
    public List<Candidate> candidates(List<Replica> replicas, long now) {
        return replicas.stream()
                .filter(replica -> acceptsRequests(replica, now))
                .map(
                        replica -> {
                            ReplicaStatus status = statusOf(replica);
                            double capacity = termsFor(replica, now).capacity();
                            return new Candidate(
                                    replica,
                                    status.expectedLoad(now) / capacity,
                                    status.health().isEjected(now),
                                    replica.dataCentre().equals(dataCentre),
                                    capacity);
                        })
                .toList();
    }

    /** Returns how many replicas of full capacity carry as much as the given ones together. */
    public double totalCapacity(List<Replica> replicas, long now) {
        return replicas.stream().mapToDouble(replica -> termsFor(replica, now).capacity()).sum();
    }

    /**
     * Removes the replicas that are not in the table and have no requests in flight. What they have
     * said about themselves is kept for some time.
     */
    public void retainOnly(ReplicaTable table, long now) {
        statuses.entrySet()
                .removeIf(
                        entry ->
                                !table.contains(entry.getKey())
                                        && entry.getValue().inFlight() == 0
                                        && entry.getValue().availability().isExpired(now));
    }
}
