package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Guards against wasted capacity. It is wasted by small calls, by calls that are queued at a
 * replica, and by pieces that wait although a replica is free.
 */
final class BatchSelectionTest {

    private static final BatchSpec SPEC = new BatchSpec(1, 2, 4, 200, 20, 1_000_000, 4_000);

    private static final long NOW = 500;
    private static final long RESULT_BYTES = 1_000;

    @Test
    void pieceIsSentAtOnceToAFreeReplica() {
        assertEquals("a", replicaName(nextBatch(SPEC, pieces(1), List.of(candidate("a", 0)))));
    }

    @Test
    void piecesWaitWhileAllReplicasAreBusy() {
        assertTrue(
                nextBatch(SPEC, pieces(3), List.of(candidate("a", 1), candidate("b", 1)))
                        .isEmpty());
    }

    @Test
    void noCallIsQueuedAtABusyReplica() {
        assertTrue(
                nextBatch(SPEC, pieces(9), List.of(candidate("a", 2), candidate("b", 1)))
                        .isEmpty());
        assertEquals(
                "c",
                replicaName(
                        nextBatch(SPEC, pieces(9), List.of(candidate("a", 1), candidate("c", 0)))));
    }

    @Test
    void mostUrgentPiecesAreSelected() {
        BatchSelection.Batch batch =
                nextBatch(SPEC, pieces(6), List.of(candidate("a", 0))).orElseThrow();
        assertEquals(List.of(0, 1, 2, 3), batch.pieces().stream().map(Piece::number).toList());
    }

    @Test
    void piecesWaitUntilTheResultsFitIntoMemory() {
        long usedBytes = SPEC.resultMemoryBytes() - RESULT_BYTES;
        BatchSelection.Batch batch =
                BatchSelection.nextBatch(
                                SPEC,
                                schedule(SPEC, pieces(3)),
                                List.of(candidate("a", 0)),
                                replica -> usedBytes)
                        .orElseThrow();
        assertEquals(1, batch.pieces().size());
        assertTrue(
                BatchSelection.nextBatch(
                                SPEC,
                                schedule(SPEC, pieces(3)),
                                List.of(candidate("a", 0)),
                                replica -> SPEC.resultMemoryBytes())
                        .isEmpty());
    }

    @Test
    void piecesOfARequestThatFitIntoOneCallAreSentTogether() {
        List<Piece> pieces = new ArrayList<>();
        for (int n = 0; n < 3; n++) {
            pieces.add(piece("first", n, 1_000));
            pieces.add(piece("second", n, 1_001));
        }
        BatchSelection.Batch batch =
                nextBatch(SPEC, pieces, List.of(candidate("a", 0))).orElseThrow();
        assertEquals(3, batch.pieces().size());
        assertTrue(batch.pieces().stream().allMatch(piece -> piece.requestId().equals("first")));
    }

    @Test
    void pieceThatCannotBeOnTimeWaitsBehindPiecesThatCan() {
        List<Piece> pieces = new ArrayList<>(pieces(SPEC.maxPieces()));
        pieces.add(0, piece("late", 9, NOW));
        BatchSelection.Batch batch =
                nextBatch(SPEC, pieces, List.of(candidate("a", 0))).orElseThrow();
        assertTrue(batch.pieces().stream().noneMatch(piece -> piece.requestId().equals("late")));
    }

    private static Optional<BatchSelection.Batch> nextBatch(
            BatchSpec spec, List<Piece> pending, List<Candidate> candidates) {
        return BatchSelection.nextBatch(spec, schedule(spec, pending), candidates, replica -> 0);
    }

    private static PieceSchedule schedule(BatchSpec spec, List<Piece> pending) {
        Map<String, Integer> oneReplica = Map.of("a", 1);
        return PieceSchedule.of(
                spec,
                PieceQueue.of(pending),
                new PieceSchedule.Capacity(1, oneReplica, oneReplica),
                NOW);
    }

    private static String replicaName(Optional<BatchSelection.Batch> batch) {
        return batch.orElseThrow().replica().id().name();
    }

    private static Candidate candidate(String name, double load) {
        return new Candidate(ForwardingSamples.replica(name, 1, false), load, false, true);
    }

    private static List<Piece> pieces(int count) {
        return IntStream.range(0, count).mapToObj(n -> piece("r", n, 1_000 + n)).toList();
    }

    private static Piece piece(String requestId, int number, long dueAt) {
        return new Piece(
                requestId, 0, number, "s", "key", List.of(), RESULT_BYTES, "", 9_000, dueAt, 1);
    }
}
