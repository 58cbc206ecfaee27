package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/** Guards against pieces that are computed again because a replica paused for a moment. */
final class PieceCallTimeoutTest {

    private static final long NOW = 50_000;

    @Test
    void callOfAFewMillisecondsSurvivesAPauseOfTheReplica() {
        assertEquals(1_000, timeoutMillis(new BatchSpec(1, 2, 4, 20, 1, 1_000_000, 4_000), 5_000));
    }

    @Test
    void callMayTakeThreeTimesAsLongAsExpectedWithTheCallsQueuedBeforeIt() {
        assertEquals(
                3_600, timeoutMillis(new BatchSpec(1, 2, 4, 200, 50, 1_000_000, 4_000), 5_000));
    }

    @Test
    void callIsNotAwaitedBeyondTheLastDeadline() {
        assertEquals(300, timeoutMillis(new BatchSpec(1, 2, 4, 20, 1, 1_000_000, 4_000), 300));
    }

    private static long timeoutMillis(BatchSpec spec, long untilDeadline) {
        Piece piece =
                new Piece(
                        "request",
                        0,
                        0,
                        "encoder",
                        "key",
                        List.of(),
                        10,
                        "",
                        NOW + untilDeadline,
                        NOW,
                        1);
        return PieceCallTimeout.millis(spec, List.of(piece), NOW);
    }
}
