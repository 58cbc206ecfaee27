package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.coordination.forwarding.Refusal;
import org.sequoiaspindle.core.coordination.forwarding.StagePlan;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.RequestFacts;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/**
 * Runs the stages of one request, each as soon as its inputs are complete. Confined to the event
 * loop of the request.
 */
final class StageRun {

    /** Times that one piece is tried. */
    private static final int MAX_TRIES = 3;

    /** Times that the stages are run again because a result is gone. */
    private static final int MAX_RESTARTS = 1;

    /** Least time for the request itself after its stages, in milliseconds. */
    private static final long LEAST_RUN_MS = 150;

    private final ForwardingParts parts;
    private final EventLoop loop;
    private final Request request;
    private final Consumer<StagePlan> completed;
    private final Consumer<Refusal> failed;
    private StagePlan plan;
    private int generation;
    private int made;
    private boolean ended;

    /**
     * What the run needs to know of the request.
     *
     * @param dataCentre where the request will probably run, empty if that is open
     * @param dueAt time by which the request should be answered, in milliseconds
     * @param endAt time at which the request is given up, in milliseconds
     */
    record Request(
            Route route,
            RequestFacts facts,
            int priority,
            String dataCentre,
            long dueAt,
            long endAt) {}

    /**
     * Prepares a run.
     *
     * @param completed gets the plan with all results
     * @param failed gets the reason for which the request cannot run
     */
    StageRun(
            ForwardingParts parts,
            EventLoop loop,
            Request request,
            Consumer<StagePlan> completed,
            Consumer<Refusal> failed) {
        this.parts = parts;
        this.loop = loop;
        this.request = request;
        this.completed = completed;
        this.failed = failed;
        this.plan = StagePlan.of(request.route(), request.facts());
    }

    void start() {
        advance();
    }

    /** Gives up the run; pieces that wait are dropped and results released. */
    void cancel() {
        ended = true;
        parts.releaser().release(plan.results());
    }

    /** Gives up the run unless it has ended. */
    void cancelUnlessComplete() {
        if (!ended) {
            cancel();
        }
    }

    /** Number of results that were made, those given up since included. */
    int madeCount() {
        return made;
    }

    private void advance() {
        if (plan.isComplete()) {
            ended = true;
            completed.accept(plan);
            return;
        }
        for (StageSpec stage : plan.ready()) {
            plan = plan.begin(stage.number());
            List<String> inputs = plan.inputs(stage);
            for (int number = 0; number < request.facts().pieces(stage.number()); number++) {
                make(piece(stage, number, inputs), 1);
            }
        }
    }

    private Piece piece(StageSpec stage, int number, List<String> inputs) {
        return new Piece(
                request.facts().id(),
                stage.number(),
                number,
                stage.service(),
                inputs.isEmpty() ? request.facts().pieceKey().orElse("") : "",
                inputs,
                stage.resultBytes(),
                inputs.isEmpty() ? request.dataCentre() : mostOf(inputs),
                request.endAt() - leastLaterMillis(stage) - LEAST_RUN_MS,
                request.dueAt() - usualLaterMillis(stage) - usualRunMillis(),
                request.priority());
    }

    /** Data centre that holds most of the results, empty if unknown. */
    private String mostOf(List<String> handles) {
        return parts.locator().countByDataCentre(handles).entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse("");
    }

    /** Least time that the stages after this one take. */
    private long leastLaterMillis(StageSpec stage) {
        return plan.millisAfter(stage.number(), later -> callMillis(later, 1));
    }

    /** Time that all stages take at present, in milliseconds. */
    long usualMillis() {
        return plan.millis(this::usualMillis);
    }

    /** Time that the stages after this one take at present. */
    private long usualLaterMillis(StageSpec stage) {
        return plan.millisAfter(stage.number(), this::usualMillis);
    }

    private long usualMillis(StageSpec stage) {
        long nominal = callMillis(stage, request.facts().pieces(stage.number()));
        return (long) parts.pieceTimes().usualMillis(stage.service(), nominal);
    }

    private long usualRunMillis() {
        return (long)
                parts.runTimes()
                        .usualMillis(
                                request.route().name(),
                                request.facts().promptTokens(),
                                LEAST_RUN_MS);
    }

    private long callMillis(StageSpec stage, int pieces) {
        Optional<BatchSpec> batch =
                parts.registry().table().service(stage.service()).flatMap(ServiceSpec::batch);
        return batch.map(spec -> (long) spec.durationMillis(pieces)).orElse(0L);
    }

    private void make(Piece piece, int tries) {
        int begun = generation;
        long orderedAt = parts.clock().now();
        parts.pieces()
                .make(piece, () -> !ended)
                .thenAccept(
                        result ->
                                loop.execute(
                                        () -> {
                                            observe(piece, orderedAt, result);
                                            made(piece, tries, begun, result);
                                        }));
    }

    /**
     * A late piece waited behind others and says little about those on time, unless it was fast.
     */
    private void observe(Piece piece, long orderedAt, PieceResult result) {
        if (!(result instanceof PieceResult.Made)) {
            return;
        }
        long now = parts.clock().now();
        long took = now - orderedAt;
        if (now <= piece.dueAt() || took < parts.pieceTimes().usualMillis(piece.service(), took)) {
            parts.pieceTimes().observe(piece.service(), took);
        }
    }

    private void made(Piece piece, int tries, int begun, PieceResult result) {
        if (ended || begun != generation) {
            if (result instanceof PieceResult.Made made) {
                parts.releaser().release(List.of(made.handle()));
            }
            return;
        }
        if (result instanceof PieceResult.Made made) {
            plan = plan.made(piece.stage(), piece.number(), made.handle());
            this.made++;
            if (plan.isComplete(piece.stage())) {
                parts.releaser().release(plan.spentBy(piece.stage()));
                advance();
            }
            return;
        }
        notMade(piece, tries, ((PieceResult.NotMade) result).reason());
    }

    private void notMade(Piece piece, int tries, PieceResult.Reason reason) {
        switch (reason) {
            case LATE -> fail(Refusal.TOO_LATE);
            case INPUT_GONE -> restart();
            case NO_REPLICA -> fail(Refusal.NO_REPLICA);
            default -> {
                if (tries < MAX_TRIES) {
                    make(piece, tries + 1);
                } else {
                    fail(
                            reason == PieceResult.Reason.NO_ROOM
                                    ? Refusal.FULL
                                    : Refusal.STAGE_FAILED);
                }
            }
        }
    }

    private void restart() {
        if (generation >= MAX_RESTARTS) {
            fail(Refusal.STAGE_FAILED);
            return;
        }
        generation++;
        parts.releaser().release(plan.results());
        plan = StagePlan.of(request.route(), request.facts());
        advance();
    }

    private void fail(Refusal reason) {
        cancel();
        failed.accept(reason);
    }
}
