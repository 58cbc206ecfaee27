package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.access.CredentialCheck;
import org.sequoiaspindle.core.protocol.request.RequestPlan.PlannedStage;
import org.sequoiaspindle.core.state.Deadline;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.Stage;

/**
 * Validates a request against a snapshot and resolves the stages of the request. Pure functions.
 */
public final class RequestPlanner {

    /** Largest number of tokens that a request may ask for. */
    public static final int MAX_TOKENS = 1_000_000;

    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

    private RequestPlanner() {}

    /**
     * Reason for rejecting a request.
     *
     * @param reason category of the failure
     * @param detail human-readable explanation
     */
    public record Rejection(OutcomeReason reason, String detail) {}

    /**
     * Returns the plan of the request, or the reason for rejecting the request before any stage
     * runs.
     */
    public static Either<Rejection, RequestPlan> plan(
            Snapshot snapshot, CallerRequest request, RequestId id, long now) {
        if (snapshot.isInitial()) {
            return reject(OutcomeReason.NOT_READY, "this instance has no configuration yet");
        }
        if (!CredentialCheck.isOrganisation(snapshot, request.organisation(), request.secret())) {
            return reject(OutcomeReason.UNAUTHENTICATED, "organisation or secret is wrong");
        }
        Option<Pipeline> pipeline = snapshot.pipeline(request.pipeline());
        if (pipeline.isEmpty()) {
            return reject(
                    OutcomeReason.UNKNOWN_PIPELINE, "no pipeline named " + request.pipeline());
        }
        if (!pipeline.get().admits(request.organisation())) {
            return reject(OutcomeReason.FORBIDDEN, "the organisation may not call this pipeline");
        }
        Option<String> fieldProblem = findFieldProblem(request);
        if (fieldProblem.isDefined()) {
            return reject(OutcomeReason.MALFORMED, fieldProblem.get());
        }
        return Either.right(resolve(snapshot, request, pipeline.get(), id, now));
    }

    private static RequestPlan resolve(
            Snapshot snapshot, CallerRequest request, Pipeline pipeline, RequestId id, long now) {
        long millis =
                Math.min(
                        request.deadlineMillis().getOrElse((long) pipeline.deadlineMs()),
                        pipeline.deadlineMs());
        Vector<PlannedStage> stages =
                snapshot.stagesOf(pipeline)
                        .map(stage -> planStage(snapshot, request, pipeline, stage));
        return new RequestPlan(
                id,
                snapshot.generation(),
                snapshot.organisation(request.organisation()).get(),
                pipeline,
                stages,
                request.input(),
                request.maxTokens(),
                Deadline.after(now, millis),
                request.idempotencyKey(),
                request.traceParent());
    }

    private static PlannedStage planStage(
            Snapshot snapshot, CallerRequest request, Pipeline pipeline, Stage stage) {
        String group = snapshot.groupFor(request.organisation(), pipeline.name(), stage);
        return new PlannedStage(stage, group, snapshot.overflowGroupsOf(group));
    }

    private static Option<String> findFieldProblem(CallerRequest request) {
        if (request.maxTokens() < 1 || request.maxTokens() > MAX_TOKENS) {
            return Option.some("maxTokens must be 1 to " + MAX_TOKENS);
        }
        if (request.deadlineMillis().exists(millis -> millis < 1)) {
            return Option.some("the deadline must be at least 1 ms away");
        }
        if (request.idempotencyKey().exists(key -> key.isEmpty() || exceedsMaxLength(key))) {
            return Option.some("the idempotency key must have 1 to 200 characters");
        }
        return Option.none();
    }

    private static boolean exceedsMaxLength(String key) {
        return key.length() > MAX_IDEMPOTENCY_KEY_LENGTH;
    }

    private static Either<Rejection, RequestPlan> reject(OutcomeReason reason, String detail) {
        return Either.left(new Rejection(reason, detail));
    }
}
