package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.DoubleSupplier;
import org.sequoiaspindle.core.coordination.admission.OrganisationLimits;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.RequestPlanner.Rejection;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;

/** Runs requests through the stages of their pipelines. Thread-safe. */
public final class RequestRunner implements RequestHandler {

    private final SnapshotHolder snapshots;
    private final RequestDependencies dependencies;
    private final IdempotencyGuard idempotencyGuard;
    private final DoubleSupplier organisationShare;
    private final OrganisationLimits limits = new OrganisationLimits();

    /**
     * Creates a runner.
     *
     * @param organisationShare fraction of each organisation's concurrency limit that this instance
     *     may use, greater than 0 and at most 1
     */
    public RequestRunner(
            SnapshotHolder snapshots,
            RequestDependencies dependencies,
            IdempotencyGuard idempotencyGuard,
            DoubleSupplier organisationShare) {
        this.snapshots = snapshots;
        this.dependencies = dependencies;
        this.idempotencyGuard = idempotencyGuard;
        this.organisationShare = organisationShare;
    }

    @Override
    public CompletionStage<Answer> handle(CallerRequest request, TokenSink sink) {
        long arrivedAt = dependencies.clock().now();
        RequestId id = dependencies.ids().get();
        Snapshot snapshot = snapshots.current();
        Either<Rejection, RequestPlan> planOrRejection =
                RequestPlanner.plan(snapshot, request, id, arrivedAt);
        if (planOrRejection.isLeft()) {
            Answer rejection =
                    rejectionAnswer(id, snapshot.generation(), planOrRejection.getLeft());
            record("", "", rejection, arrivedAt);
            return CompletableFuture.completedFuture(rejection);
        }
        RequestPlan plan = planOrRejection.get();
        return runWithinLimit(plan, sink)
                .thenApply(
                        answer -> {
                            record(request.organisation(), request.pipeline(), answer, arrivedAt);
                            return answer;
                        });
    }

    private CompletionStage<Answer> runWithinLimit(RequestPlan plan, TokenSink sink) {
        if (!limits.tryAcquire(plan.organisation(), organisationShare.getAsDouble())) {
            Rejection overLimit =
                    new Rejection(
                            OutcomeReason.OVER_LIMIT,
                            "the organisation has too many requests running");
            return CompletableFuture.completedFuture(
                    rejectionAnswer(plan.id(), plan.generation(), overLimit));
        }
        SpanTracer.ActiveSpan span =
                dependencies
                        .tracer()
                        .start(
                                "request " + plan.pipeline().name(),
                                plan.traceParent(),
                                HashMap.of("organisation", plan.organisation().name()));
        return idempotencyGuard
                .runOnce(plan, () -> run(plan, sink, span.traceParent()))
                .whenComplete(
                        (answer, failure) -> {
                            limits.release(plan.organisation());
                            span.end(failure == null ? answer.outcome().name() : "BROKEN");
                        });
    }

    private CompletionStage<Answer> run(RequestPlan plan, TokenSink sink, String traceParent) {
        PipelineExecution run = new PipelineExecution(dependencies, plan, sink, traceParent);
        return run.start();
    }

    private void record(String organisation, String pipeline, Answer answer, long arrivedAt) {
        long millis = dependencies.clock().now() - arrivedAt;
        dependencies
                .summaryConsumer()
                .accept(new RequestSummary(organisation, pipeline, answer, millis));
    }

    private static Answer rejectionAnswer(RequestId id, long generation, Rejection rejection) {
        return new Answer(
                id,
                Outcome.NOT_RUN,
                rejection.reason(),
                rejection.detail(),
                "",
                generation,
                Vector.empty());
    }
}
