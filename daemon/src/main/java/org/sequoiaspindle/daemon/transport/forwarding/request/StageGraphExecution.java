package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.sequoiaspindle.core.coordination.forwarding.admission.RejectionReason;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.coordination.forwarding.piece.StagePlan;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.core.state.forwarding.StageSpec;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/**
 * Executes the stages of one request. A stage starts as soon as all its dependencies are complete.
 * Confined to the event loop of the request.
 */
final class StageGraphExecution {

    /** Maximum number of attempts for one piece. */
    private static final int MAX_PIECE_ATTEMPTS = 3;

    /** Maximum number of times that all stages are restarted because a result was lost. */
    private static final int MAX_RESTARTS = 1;

    /** Minimum time to reserve for the request itself after its stages, in milliseconds. */
    private static final long MIN_REQUEST_MS = 150;

    private final ForwardingContext context;
    private final EventLoop loop;
    private final Request request;
    private final Consumer<StagePlan> onCompleted;
    private final Consumer<RejectionReason> onFailed;
    private StagePlan plan;

    /** Volatile because executors of pieces ask from their own threads what is still needed. */
    private volatile int restarts;

    private int completedPieces;

    private volatile boolean finished;

    /**
     * Properties of the request.
     *
     * @param dataCentre data centre that will probably execute the request, empty if unknown
     * @param dueAtMillis time by which the response should start, in milliseconds
     * @param deadlineMillis deadline of the request, in milliseconds
     */
    record Request(
            Route route,
            RequestMetadata metadata,
            int priority,
            String dataCentre,
            long dueAtMillis,
            long deadlineMillis) {}

    /**
     * Prepares an execution.
     *
     * @param onCompleted receives the plan with all results
     * @param onFailed receives the reason for which the request is rejected
     */
    StageGraphExecution(
            ForwardingContext context,
            EventLoop loop,
            Request request,
            Consumer<StagePlan> onCompleted,
            Consumer<RejectionReason> onFailed) {
        this.context = context;
        this.loop = loop;
        this.request = request;
        this.onCompleted = onCompleted;
        this.onFailed = onFailed;
        this.plan = StagePlan.of(request.route(), request.metadata());
    }

    void start() {
        startReadyStages();
    }

    /** Cancels the execution. Pending pieces are dropped and results released. */
    void cancel() {
        finished = true;
        context.releaser().release(plan.allHandles());
    }

    /** Cancels the execution unless it has finished. */
    void cancelUnlessFinished() {
        if (!finished) {
            cancel();
        }
    }

    /** Returns the number of completed pieces, including those whose results have been released. */
    int completedPieces() {
        return completedPieces;
    }

    private void startReadyStages() {
        if (plan.isComplete()) {
            finished = true;
            onCompleted.accept(plan);
            return;
        }
        for (StageSpec stage : plan.startableStages()) {
            plan = plan.withStarted(stage.number());
            List<String> inputs = plan.inputHandles(stage);
            executePieces(
                    IntStream.range(0, request.metadata().pieceCount(stage.number()))
                            .mapToObj(number -> newPiece(stage, number, inputs))
                            .toList(),
                    1);
        }
    }

    private Piece newPiece(StageSpec stage, int number, List<String> inputs) {
        return new Piece(
                request.metadata().id(),
                stage.number(),
                number,
                stage.service(),
                inputs.isEmpty() ? request.metadata().pieceKey().orElse("") : "",
                inputs,
                stage.resultBytes(),
                preferredDataCentre(inputs),
                request.deadlineMillis() - minLaterMillis(stage) - MIN_REQUEST_MS,
                request.dueAtMillis() - typicalLaterMillis(stage) - typicalFirstByteMillis(),
                request.priority());
    }

    /**
     * Returns the data centre in which a piece should be computed, or an empty string if there is
     * none. The one that was chosen for the request may have been evacuated since.
     */
    private String preferredDataCentre(List<String> inputs) {
        String preferred = inputs.isEmpty() ? request.dataCentre() : dataCentreWithMost(inputs);
        return context.registry().evacuations().isEvacuated(preferred) ? "" : preferred;
    }

    /** Returns the data centre that stores most of the results, or an empty string if unknown. */
    private String dataCentreWithMost(List<String> handles) {
        return context.locator().countByDataCentre(handles).entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse("");
    }

    /** Returns the minimum time of the stages that depend on a stage, in milliseconds. */
    private long minLaterMillis(StageSpec stage) {
        return plan.criticalPathMillisAfter(
                stage.number(), laterStage -> nominalCallMillis(laterStage, 1));
    }

    /** Returns the estimated time of all stages, in milliseconds. */
    long estimatedMillis() {
        return plan.criticalPathMillis(this::typicalMaxMillis);
    }

    /** Returns the estimated time of the stages that depend on a stage, in milliseconds. */
    private long typicalLaterMillis(StageSpec stage) {
        return plan.criticalPathMillisAfter(stage.number(), this::typicalMaxMillis);
    }

    private long typicalMaxMillis(StageSpec stage) {
        long nominalMillis =
                nominalCallMillis(stage, request.metadata().pieceCount(stage.number()));
        return (long) context.pieceTimes().typicalMaxMillis(stage.service(), nominalMillis);
    }

    private long typicalFirstByteMillis() {
        return (long)
                context.firstByteTimes()
                        .typicalMaxMillis(
                                request.route().name(),
                                request.metadata().promptTokens(),
                                MIN_REQUEST_MS);
    }

    private long nominalCallMillis(StageSpec stage, int pieces) {
        Optional<BatchSpec> spec =
                context.registry()
                        .configuration()
                        .service(stage.service())
                        .flatMap(ServiceSpec::batch);
        return spec.map(value -> (long) value.durationMillis(pieces)).orElse(0L);
    }

    private void executePieces(List<Piece> pieces, int attemptNumber) {
        if (pieces.isEmpty()) {
            return;
        }
        int restartsAtStart = restarts;
        long requestedAt = context.clock().now();
        List<CompletionStage<PieceResult>> results =
                context.pieceExecutor()
                        .execute(pieces, () -> !finished && restartsAtStart == restarts);
        for (int i = 0; i < pieces.size(); i++) {
            Piece piece = pieces.get(i);
            results.get(i)
                    .thenAccept(
                            result ->
                                    loop.execute(
                                            () -> {
                                                recordDuration(piece, requestedAt, result);
                                                pieceFinished(
                                                        piece,
                                                        attemptNumber,
                                                        restartsAtStart,
                                                        result);
                                            }));
        }
    }

    /**
     * Records the duration of a piece for the estimates. A late piece is skipped, because it was
     * queued behind others and does not represent pieces on time. A late piece that was faster than
     * the estimate is recorded nevertheless.
     */
    private void recordDuration(Piece piece, long requestedAt, PieceResult result) {
        if (!(result instanceof PieceResult.Completed)) {
            return;
        }
        long now = context.clock().now();
        long durationMillis = now - requestedAt;
        if (now <= piece.dueAt()
                || durationMillis
                        < context.pieceTimes().typicalMaxMillis(piece.service(), durationMillis)) {
            context.pieceTimes().observe(piece.service(), durationMillis);
        }
    }

    private void pieceFinished(
            Piece piece, int attemptNumber, int restartsAtStart, PieceResult result) {
        if (finished || restartsAtStart != restarts) {
            if (result instanceof PieceResult.Completed completed) {
                context.releaser().release(List.of(completed.handle()));
            }
            return;
        }
        if (result instanceof PieceResult.Completed completed) {
            plan = plan.withResult(piece.stage(), piece.number(), completed.handle());
            this.completedPieces++;
            if (plan.isComplete(piece.stage())) {
                context.releaser().release(plan.handlesUnusedAfter(piece.stage()));
                startReadyStages();
            }
            return;
        }
        handleIncompletePiece(piece, attemptNumber, ((PieceResult.NotCompleted) result).reason());
    }

    private void handleIncompletePiece(Piece piece, int attemptNumber, PieceResult.Reason reason) {
        switch (reason) {
            case LATE -> fail(RejectionReason.TOO_LATE);
            case INPUT_GONE -> restart();
            case NO_REPLICA -> fail(RejectionReason.NO_REPLICA);
            default -> {
                if (attemptNumber < MAX_PIECE_ATTEMPTS) {
                    executePieces(List.of(piece), attemptNumber + 1);
                } else {
                    fail(
                            reason == PieceResult.Reason.NO_ROOM
                                    ? RejectionReason.FULL
                                    : RejectionReason.STAGE_FAILED);
                }
            }
        }
    }

    private void restart() {
        if (restarts >= MAX_RESTARTS) {
            fail(RejectionReason.STAGE_FAILED);
            return;
        }
        restarts++;
        context.releaser().release(plan.allHandles());
        plan = StagePlan.of(request.route(), request.metadata());
        startReadyStages();
    }

    private void fail(RejectionReason reason) {
        cancel();
        onFailed.accept(reason);
    }
}
