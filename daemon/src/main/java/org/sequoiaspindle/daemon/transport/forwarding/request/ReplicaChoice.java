package org.sequoiaspindle.daemon.transport.forwarding.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.replica.PromptAffinityPlacement;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/** Chooses the replica for an admitted request. Stateless. */
record ReplicaChoice(
        ForwardingContext context, Admission.Admitted admission, RequestMetadata metadata) {

    /** Returns whether any replica of the service accepts requests. */
    boolean isPossible() {
        return !candidates().isEmpty();
    }

    /**
     * Selects a replica.
     *
     * @param inputBytes total size of the request's inputs in each data centre
     * @param excludedReplicas replicas that this request has already been sent to
     */
    Optional<Replica> select(Map<String, Long> inputBytes, Set<ReplicaId> excludedReplicas) {
        return admission.route().sticky()
                ? PromptAffinityPlacement.select(
                        candidates(), metadata.promptParts(), inputBytes, excludedReplicas)
                : ReplicaSelector.LEAST_LOADED.select(
                        candidates(), metadata.id(), excludedReplicas);
    }

    /**
     * Returns the time until a replica of the service accepts requests without a permit, 0 if not
     * known.
     */
    long millisUntilPossible() {
        return replicas().stream()
                .map(this::millisUntilPossible)
                .flatMapToLong(OptionalLong::stream)
                .min()
                .orElse(0);
    }

    private OptionalLong millisUntilPossible(Replica replica) {
        OptionalLong pause =
                context.statuses().millisUntilAvailable(List.of(replica), context.clock().now());
        return pause.isEmpty()
                ? pause
                : OptionalLong.of(
                        Math.max(pause.getAsLong(), context.permits().millisUntilWarm(replica)));
    }

    private List<ReplicaSelector.Candidate> candidates() {
        return context.statuses().candidates(replicas(), context.clock().now());
    }

    private List<Replica> replicas() {
        return context.registry().replicas().replicasOf(admission.service());
    }
}
