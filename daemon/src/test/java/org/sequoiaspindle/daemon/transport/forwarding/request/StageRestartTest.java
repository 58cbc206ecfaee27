package org.sequoiaspindle.daemon.transport.forwarding.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.DurationEstimates;
import org.sequoiaspindle.core.coordination.forwarding.admission.FirstByteTimeEstimates;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.StageSpec;
import org.sequoiaspindle.core.state.forwarding.WeightedService;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;

/** Guards against results that are computed after the stages of their request have restarted. */
final class StageRestartTest {

    private static final int PIECES = 3;
    private static final StageSpec STAGE = new StageSpec(0, "encoder", List.of(), 1_500_000);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<BooleanSupplier> needed = new ArrayList<>();
    private final List<CompletableFuture<PieceResult>> results = new ArrayList<>();

    @Test
    void pendingPiecesAreNotNeededOnceTheStagesRestart() {
        execution().start();
        results.get(0).complete(new PieceResult.NotCompleted(PieceResult.Reason.INPUT_GONE));
        channel.runPendingTasks();
        assertEquals(
                List.of(false, true), needed.stream().map(BooleanSupplier::getAsBoolean).toList());
    }

    private StageGraphExecution execution() {
        Route route =
                new Route(
                        "route",
                        "desk.example",
                        "/",
                        RequestKind.STREAM,
                        5_000,
                        500,
                        1,
                        List.of(new WeightedService("engine", 1)),
                        2,
                        List.of(STAGE),
                        false,
                        false,
                        false,
                        0);
        RequestMetadata metadata =
                new RequestMetadata(
                        "request-1",
                        "desk.example",
                        "/",
                        4_000,
                        Optional.empty(),
                        List.of(),
                        0,
                        0,
                        List.of(PIECES),
                        Optional.of("key"));
        return new StageGraphExecution(
                context(),
                channel.eventLoop(),
                new StageGraphExecution.Request(route, metadata, 1, "", 500, 4_000),
                plan -> {},
                reason -> {});
    }

    private ForwardingContext context() {
        MillisClock clock = () -> 0;
        RegistryLayout layout =
                new RegistryLayout("config", "r/", value -> null, item -> Optional.empty());
        return new ForwardingContext(
                null,
                new Registry(layout, clock, clock, EventLog.NONE),
                null,
                null,
                null,
                null,
                new DurationEstimates(),
                null,
                new FirstByteTimeEstimates(),
                this::execute,
                handles -> {},
                null,
                null,
                null,
                null,
                null,
                clock,
                EventLog.NONE);
    }

    private List<CompletionStage<PieceResult>> execute(
            List<Piece> pieces, BooleanSupplier isNeeded) {
        needed.add(isNeeded);
        List<CompletableFuture<PieceResult>> futures =
                pieces.stream().map(piece -> new CompletableFuture<PieceResult>()).toList();
        results.addAll(futures);
        return List.copyOf(futures);
    }
}
