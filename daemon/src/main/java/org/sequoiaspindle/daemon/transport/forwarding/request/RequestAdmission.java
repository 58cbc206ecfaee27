package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.vavr.control.Either;
import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.admission.Admission;
import org.sequoiaspindle.core.coordination.forwarding.admission.DrainAdmission;
import org.sequoiaspindle.core.coordination.forwarding.admission.RejectionReason;
import org.sequoiaspindle.core.coordination.forwarding.admission.StageAdmission;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/** Decides whether a request may be executed, and whether it may still be sent to a replica. */
final class RequestAdmission {

    /**
     * The request is not executed.
     *
     * @param admitted route and owner of the request, empty if they are unknown
     * @param explanation text for the client, may be empty
     */
    record Rejection(
            RejectionReason reason, Optional<Admission.Admitted> admitted, String explanation) {}

    private RequestAdmission() {}

    /** Decides on a request that has just been received, before anything is spent on it. */
    static Either<Rejection, Admission.Admitted> decide(
            ForwardingContext context, RequestMetadata metadata) {
        Admission decision =
                Admission.decide(
                        context.registry().configuration(), metadata, context.mayAcceptWithKey());
        if (decision instanceof Admission.Rejected rejected) {
            return Either.left(new Rejection(rejected.reason(), Optional.empty(), ""));
        }
        Admission.Admitted admitted = (Admission.Admitted) decision;
        if (context.isPromptHarmful(metadata)) {
            return Either.left(
                    new Rejection(RejectionReason.HARMFUL_PROMPT, Optional.of(admitted), ""));
        }
        if (context.lacksStageReplicas(admitted.route(), metadata)) {
            return Either.left(
                    new Rejection(RejectionReason.NO_REPLICA, Optional.of(admitted), ""));
        }
        Optional<StageAdmission.Rejection> stages =
                context.decideOnStages(
                        admitted.route(), metadata, admitted.timeoutMillis(metadata));
        return stages.isPresent()
                ? Either.left(
                        new Rejection(
                                stages.get().reason(),
                                Optional.of(admitted),
                                stages.get().explanation()))
                : Either.right(admitted);
    }

    /**
     * Returns why an admitted request must not be sent to a replica.
     *
     * @param millisUntilSend expected time until it is sent
     */
    static Optional<RejectionReason> findObstacle(
            ForwardingContext context,
            Admission.Admitted admission,
            RequestMetadata metadata,
            DrainAdmission drain,
            long millisUntilSend) {
        if (admission.keyOwner().isPresent() && !context.maySendWithKey(millisUntilSend)) {
            return Optional.of(RejectionReason.KEYS_UNCONFIRMED);
        }
        Route route = admission.route();
        double responseMillis =
                context.responseTimes().typicalMaxMillis(route.name(), route.objectiveMillis());
        if (!drain.canComplete(context.clock().now(), millisUntilSend + (long) responseMillis)) {
            return Optional.of(RejectionReason.STOPPING);
        }
        return context.isPromptHarmful(metadata)
                ? Optional.of(RejectionReason.HARMFUL_PROMPT)
                : Optional.empty();
    }
}
