package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against calls whose results find no room, and against room that is never used again. */
final class ResultRoomTest {

    private static final ReplicaId REPLICA = new ReplicaId("a", 1);

    private final ResultRoom room = new ResultRoom();

    @Test
    void callInProgressAndItsResultsTakeRoomOnce() {
        room.reserve(REPLICA, 300);
        assertEquals(300, room.usedBytes(REPLICA, 0));
        room.unreserve(REPLICA, 300);
        room.made(REPLICA, "h", 100, 4_000);
        assertEquals(100, room.usedBytes(REPLICA, 0));
    }

    @Test
    void releasedResultTakesNoRoom() {
        room.made(REPLICA, "h", 100, 4_000);
        room.released(REPLICA, "h");
        assertEquals(0, room.usedBytes(REPLICA, 0));
    }

    @Test
    void resultThatIsNeverReleasedLapses() {
        room.made(REPLICA, "h", 100, 4_000);
        assertEquals(0, room.usedBytes(REPLICA, 4_000));
    }

    /** Guards against calls in vain after another instance has gathered the service's pieces. */
    @Test
    void roomThatOthersUseIsTakenIntoAccountAndGivenBackLittleByLittle() {
        room.made(REPLICA, "h", 100, 4_000);
        room.exhausted(REPLICA, 1_000, 0);
        assertEquals(1_000, room.usedBytes(REPLICA, 0));
        assertEquals(550, room.usedBytes(REPLICA, 500));
        assertEquals(100, room.usedBytes(REPLICA, 1_000));
    }
}
