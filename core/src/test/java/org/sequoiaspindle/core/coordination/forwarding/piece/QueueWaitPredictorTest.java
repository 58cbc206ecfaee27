package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Guards against late rejections. They occur if pieces that cannot complete in time stay queued
 * until the deadline.
 */
final class QueueWaitPredictorTest {

    /** Nominal capacity of one replica: ten pieces in 300 ms. */
    private static final BatchSpec SPEC = new BatchSpec(1, 2, 10, 200, 10, 1_000_000, 4_000);

    private static final long NOW = 10_000;

    @Test
    void shortQueueHasNoUnservablePieces() {
        assertTrue(
                QueueWaitPredictor.initial(NOW)
                        .findUnservable(SPEC, scheduleOnTime(20, NOW + 2_000), 1, NOW)
                        .isEmpty());
    }

    @Test
    void piecesBehindALongQueueAreUnservable() {
        List<Piece> unservable =
                QueueWaitPredictor.initial(NOW)
                        .findUnservable(SPEC, scheduleOnTime(100, NOW + 2_000), 1, NOW);
        // At half of the nominal capacity, 30 pieces start within 1,790 ms.
        assertEquals(70, unservable.size());
        assertEquals(30, unservable.get(0).number());
    }

    @Test
    void fewerPiecesAreUnservableAtAHigherCompletionRate() {
        QueueWaitPredictor predictor = QueueWaitPredictor.initial(NOW);
        for (int call = 0; call < 30; call++) {
            predictor = predictor.afterCall(10, NOW);
        }
        assertTrue(
                predictor.findUnservable(SPEC, scheduleOnTime(100, NOW + 2_000), 1, NOW).isEmpty());
    }

    @Test
    void pieceThatCannotCompleteBeforeTheDeadlineIsUnservable() {
        assertEquals(
                1,
                QueueWaitPredictor.initial(NOW)
                        .findUnservable(SPEC, scheduleOnTime(1, NOW + 100), 4, NOW)
                        .size());
    }

    /** Guards against late requests that stay queued behind newer requests until the deadline. */
    @Test
    void latePiecesAreAssumedToGetHalfOfTheRate() {
        PieceSchedule lateSchedule = schedule(100, NOW + 2_000, NOW);
        assertEquals(
                85,
                QueueWaitPredictor.initial(NOW).findUnservable(SPEC, lateSchedule, 1, NOW).size());
    }

    private static PieceSchedule scheduleOnTime(int count, long deadlineAt) {
        return schedule(count, deadlineAt, Long.MAX_VALUE / 2);
    }

    private static PieceSchedule schedule(int count, long deadlineAt, long dueAt) {
        List<Piece> pieces =
                IntStream.range(0, count)
                        .mapToObj(
                                n ->
                                        new Piece(
                                                "r",
                                                0,
                                                n,
                                                "s",
                                                "k",
                                                List.of(),
                                                0,
                                                "",
                                                deadlineAt,
                                                dueAt,
                                                1))
                        .toList();
        Map<String, Integer> oneReplica = Map.of("a", 1);
        return PieceSchedule.of(
                SPEC,
                PieceQueue.of(pieces),
                new PieceSchedule.Capacity(1, oneReplica, oneReplica),
                NOW);
    }
}
