package org.sequoiaspindle.daemon.transport.forwarding.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.RejectionReason;
import org.sequoiaspindle.core.coordination.forwarding.permit.SendPermit;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendTerms;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.replica.AttemptTarget;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/**
 * Finds the replica for each attempt of a request, with a permit if the replica needs one. A
 * replica without a permit is passed over. Confined to the event loop of the request.
 */
final class ReplicaSearch {

    /**
     * Maximum number of permits that a request asks for, so that unreachable issuers delay it by a
     * quarter of a second at most. Replicas that need none are still found afterwards.
     */
    private static final int MAX_QUESTIONS = 10;

    private final ForwardingContext context;
    private final EventLoopWorker worker;
    private final ReplicaChoice choice;

    /** Replicas that this request has been sent to or is about to be sent to. */
    private final Set<ReplicaId> usedIds = new HashSet<>();

    /** Replicas that may not be sent this request although they were chosen. */
    private final Set<ReplicaId> refusedIds = new HashSet<>();

    private int questions;

    ReplicaSearch(
            ForwardingContext context,
            EventLoopWorker worker,
            Admission.Admitted admission,
            RequestMetadata metadata) {
        this.context = context;
        this.worker = worker;
        this.choice = new ReplicaChoice(context, admission, metadata);
    }

    /**
     * Finds a replica. Calls the consumer before it returns, unless a permit has to be asked for.
     *
     * @param inputBytes total size of the request's inputs in each data centre
     */
    void find(Map<String, Long> inputBytes, Consumer<Optional<AttemptTarget>> onFound) {
        Optional<Replica> replica = selectUsable(inputBytes);
        if (replica.isEmpty() || !termsFor(replica.get()).needsPermit()) {
            onFound.accept(replica.map(chosen -> found(chosen, Optional.empty())));
            return;
        }
        questions++;
        Invariants.reportFailure(
                context.permits()
                        .request(replica.get())
                        .thenAcceptAsync(
                                permit -> answered(replica.get(), permit, inputBytes, onFound),
                                worker.loop()));
    }

    private void answered(
            Replica replica,
            Optional<SendPermit> permit,
            Map<String, Long> inputBytes,
            Consumer<Optional<AttemptTarget>> onFound) {
        if (permit.isPresent()) {
            onFound.accept(Optional.of(found(replica, permit)));
        } else {
            refuse(replica);
            find(inputBytes, onFound);
        }
    }

    /** Returns the data centre of the replica that would be chosen now, empty without one. */
    String preferredDataCentre(Map<String, Long> inputBytes) {
        return choice.select(inputBytes, usedIds).map(Replica::dataCentre).orElse("");
    }

    /** Returns why a request is rejected for which no replica was found. */
    RejectionReason rejectionReason() {
        return usedIds.isEmpty() ? RejectionReason.NO_REPLICA : RejectionReason.FULL;
    }

    /** Returns whether any replica of the service accepts requests. */
    boolean isPossible() {
        return choice.isPossible();
    }

    /** Returns the time until a replica accepts requests, 0 if not known. */
    long millisUntilPossible() {
        return choice.millisUntilPossible();
    }

    /** Lets replicas be chosen again that have been sent the request. */
    void forgetUsed() {
        usedIds.clear();
    }

    /** Excludes a replica to which the request may not be sent. */
    void refuse(Replica replica) {
        usedIds.remove(replica.id());
        refusedIds.add(replica.id());
    }

    /** Selects a replica; once the questions are used up, only one that needs no permit. */
    private Optional<Replica> selectUsable(Map<String, Long> inputBytes) {
        Set<ReplicaId> excludedIds = new HashSet<>(usedIds);
        excludedIds.addAll(refusedIds);
        Optional<Replica> replica = choice.select(inputBytes, excludedIds);
        while (replica.isPresent()
                && questions >= MAX_QUESTIONS
                && termsFor(replica.get()).needsPermit()) {
            excludedIds.add(replica.get().id());
            replica = choice.select(inputBytes, excludedIds);
        }
        return replica;
    }

    private AttemptTarget found(Replica replica, Optional<SendPermit> permit) {
        usedIds.add(replica.id());
        return new AttemptTarget(
                replica,
                () -> {
                    SendTerms terms = termsFor(replica);
                    return !terms.isClosed()
                            && (!terms.needsPermit()
                                    || permit.filter(context.permits()::use).isPresent());
                });
    }

    private SendTerms termsFor(Replica replica) {
        return context.statuses().termsFor(replica, context.clock().now());
    }
}
