package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Guards against calls whose results do not fit into memory, and against memory that is never used
 * again after a release.
 */
final class ResultMemoryTrackerTest {

    private static final ReplicaId REPLICA = new ReplicaId("a", 1);

    private final ResultMemoryTracker memory = new ResultMemoryTracker();

    @Test
    void reservedMemoryIsReplacedByTheStoredResults() {
        memory.reserve(REPLICA, 300);
        assertEquals(300, memory.usedBytes(REPLICA, 0));
        memory.unreserve(REPLICA, 300);
        memory.recordStored(REPLICA, "h", 100, 4_000);
        assertEquals(100, memory.usedBytes(REPLICA, 0));
    }

    @Test
    void releasedResultUsesNoMemory() {
        memory.recordStored(REPLICA, "h", 100, 4_000);
        memory.recordReleased(REPLICA, "h");
        assertEquals(0, memory.usedBytes(REPLICA, 0));
    }

    @Test
    void unreleasedResultUsesNoMemoryAfterExpiry() {
        memory.recordStored(REPLICA, "h", 100, 4_000);
        assertEquals(0, memory.usedBytes(REPLICA, 4_000));
    }

    /**
     * Guards against repeated calls to a replica whose memory is filled by results of the previous
     * batching instance.
     */
    @Test
    void memoryUsedByOtherInstancesIsCountedAndReleasedGradually() {
        memory.recordStored(REPLICA, "h", 100, 4_000);
        memory.recordExhausted(REPLICA, 1_000, 0);
        assertEquals(1_000, memory.usedBytes(REPLICA, 0));
        assertEquals(550, memory.usedBytes(REPLICA, 500));
        assertEquals(100, memory.usedBytes(REPLICA, 1_000));
    }
}
