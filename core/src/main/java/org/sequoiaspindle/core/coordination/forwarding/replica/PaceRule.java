package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * Sends each replica the share of requests that its answers show it to carry. Replicas that are
 * registered after the first listing begin with a small share. Thread-safe.
 */
public final class PaceRule implements SendRule {

    private static final double HASH_RANGE = 0x1p32;

    private final String instance;
    private final Function<Replica, ReplicaStatus> statuses;

    /** Replicas whose start is known, empty before the first listing. */
    private final AtomicReference<Optional<Set<ReplicaId>>> knownReplicas =
            new AtomicReference<>(Optional.empty());

    /**
     * Creates a rule that treats all replicas as known until the first call of {@link #update}.
     *
     * @param instance name of this instance
     * @param statuses returns the status of a replica
     */
    public PaceRule(String instance, Function<Replica, ReplicaStatus> statuses) {
        this.instance = instance;
        this.statuses = statuses;
    }

    @Override
    public SendTerms termsFor(Replica replica, long now) {
        return new SendTerms(SendTerms.Verdict.OPEN, capacityOf(replica, now));
    }

    private double capacityOf(Replica replica, long now) {
        boolean isKnown =
                knownReplicas.get().map(known -> known.contains(replica.id())).orElse(true);
        return isKnown
                ? statuses.apply(replica).pace().capacityAt(now)
                : EndpointPace.START_CAPACITY;
    }

    /** Takes over the registered replicas; those that were not registered before start slowly. */
    public void update(ReplicaTable table, long now) {
        Optional<Set<ReplicaId>> before = knownReplicas.get();
        before.ifPresent(
                known ->
                        table.all().stream()
                                .filter(replica -> !known.contains(replica.id()))
                                .forEach(replica -> start(replica, now)));
        knownReplicas.set(
                Optional.of(
                        table.all().stream()
                                .map(Replica::id)
                                .collect(Collectors.toUnmodifiableSet())));
    }

    private void start(Replica replica, long now) {
        double spread =
                (StableHash.of(instance, replica.id().toString()) >>> Integer.SIZE) / HASH_RANGE;
        statuses.apply(replica).updatePace(pace -> EndpointPace.starting(now, spread));
    }
}
