package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.core.state.forwarding.StageSpec;

/** Guards against stages whose cost is set by a client alone, and against rejecting sound ones. */
final class StageAdmissionTest {

    private static final int MAX_PIECES = 1_000;
    private static final long ENOUGH_MS = 60_000;
    private static final long RESULT_BYTES = 1_000;
    private static final Route ROUTE =
            ForwardingSamples.route(
                    "/",
                    RequestKind.STREAM,
                    1,
                    List.of(
                            new StageSpec(0, "board", List.of(), RESULT_BYTES),
                            new StageSpec(1, "board", List.of(0), RESULT_BYTES)));

    @Test
    void piecesOfAllStagesTogetherAreLimited() {
        BatchSpec spec = spec(1_000_000_000);
        assertTrue(decide(spec, 4, ENOUGH_MS, MAX_PIECES, 0).isEmpty());
        assertTrue(decide(spec, 4, ENOUGH_MS, 400, 600).isEmpty());
        StageAdmission.Rejection rejection = decide(spec, 4, ENOUGH_MS, 400, 601).orElseThrow();
        assertEquals(RejectionReason.TOO_MANY_PIECES, rejection.reason());
        assertEquals(
                "the request states 1001 pieces; maxPiecesPerRequest is 1000",
                rejection.explanation());
    }

    @Test
    void largestNumbersDoNotOverflow() {
        assertEquals(
                RejectionReason.TOO_MANY_PIECES,
                decide(spec(1), 4, ENOUGH_MS, Integer.MAX_VALUE, Integer.MAX_VALUE)
                        .orElseThrow()
                        .reason());
        BatchSpec vast =
                new BatchSpec(
                        Integer.MAX_VALUE,
                        0,
                        Integer.MAX_VALUE,
                        200,
                        28,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE);
        assertTrue(decide(vast, Integer.MAX_VALUE, ENOUGH_MS, 10, 10).isEmpty());
    }

    @Test
    void resultsThatDoNotFitIntoTheMemoryOfAllReplicasAreRejected() {
        assertTrue(decide(spec(50 * RESULT_BYTES), 2, ENOUGH_MS, 100, 0).isEmpty());
        assertEquals(
                RejectionReason.STAGES_TOO_LARGE,
                decide(spec(50 * RESULT_BYTES), 2, ENOUGH_MS, 101, 0).orElseThrow().reason());
    }

    @Test
    void requestIsNotRejectedForWhatIsUnknown() {
        assertTrue(decide(spec(0), 2, ENOUGH_MS, 100, 0).isEmpty());
        assertTrue(decide(spec(RESULT_BYTES), 0, ENOUGH_MS, 100, 0).isEmpty());
    }

    /** Compares with replicas that work for this request alone and start the next call at once. */
    @Property(seed = "340305", tries = 500)
    void requestThatIdleReplicasCompleteInTimeIsNeverRejected(
            @ForAll @IntRange(min = 1, max = 300) int first,
            @ForAll @IntRange(max = 300) int second,
            @ForAll @IntRange(min = 1, max = 12) int replicas,
            @ForAll @IntRange(min = 1, max = 40) int pieceMillis) {
        BatchSpec spec = new BatchSpec(1, 2, 6, 200, pieceMillis, 1_000_000_000, 4_000);
        long millis = idleMillis(spec, replicas, first) + idleMillis(spec, replicas, second);
        assertTrue(decide(spec, replicas, millis, first, second).isEmpty());
    }

    @Test
    void requestThatReplicasCannotCompleteInTimeIsRejectedAtOnce() {
        StageAdmission.Rejection rejection =
                decide(spec(1_000_000_000), 4, 6_000, 999, 0).orElseThrow();
        assertEquals(RejectionReason.STAGES_TOO_LARGE, rejection.reason());
        assertEquals("the stages need at least 8400 ms; 6000 ms are left", rejection.explanation());
    }

    private static long idleMillis(BatchSpec spec, int replicas, int pieces) {
        double millis = 0;
        for (int left = pieces; left > 0; left -= replicas * spec.maxPieces()) {
            millis += spec.durationMillis(Math.min(spec.maxPieces(), (left - 1) / replicas + 1));
        }
        return (long) Math.ceil(millis);
    }

    private static Optional<StageAdmission.Rejection> decide(
            BatchSpec spec, int replicas, long remainingMillis, Integer... pieceCounts) {
        ForwardingTable table =
                new ForwardingTable(
                        1,
                        List.of(ROUTE),
                        List.of(new ServiceSpec("board", 96, Optional.of(spec), false)),
                        IngressLimits.DEFAULT,
                        Map.of(),
                        false);
        return new StageAdmission(MAX_PIECES)
                .decide(
                        table,
                        ROUTE,
                        ForwardingSamples.request("/", Optional.empty(), List.of(pieceCounts)),
                        service -> replicas,
                        remainingMillis);
    }

    private static BatchSpec spec(long resultMemoryBytes) {
        return new BatchSpec(1, 2, 6, 200, 28, resultMemoryBytes, 4_000);
    }
}
