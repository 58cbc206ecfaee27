package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

final class PieceQueueTest {

    private static final BatchSpec SPEC = new BatchSpec(1, 2, 66, 200, 2.6, 8_600_000, 4_000);
    private static final int GROUPS = 300;
    private static final int PIECES_PER_GROUP = 6;
    private static final long NOW = 1_000;

    /** Most pieces that a request may have unless the settings allow more. */
    private static final int LARGE_REQUEST_PIECES = 1_000;

    /**
     * Bytes for each piece: one reference for each call that the request needs, twice, and some.
     */
    private static final long MAX_BYTES_PER_LARGE_REQUEST_PIECE = 512;

    /** Bytes that a decision may allocate for each queued piece: one small object a group. */
    private static final long MAX_BYTES_PER_PIECE = 24;

    /** Guards against an instance that cannot keep its replicas busy when many pieces wait. */
    @Test
    void decisionOverABacklogCostsLittleForEachQueuedPiece() {
        PieceQueue queue = new PieceQueue();
        for (int group = 0; group < GROUPS; group++) {
            for (int number = 0; number < PIECES_PER_GROUP; number++) {
                queue.add(piece("request-" + group, number, group % 3, NOW + 100L * group));
            }
        }
        schedule(queue);
        ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = thread.getCurrentThreadAllocatedBytes();
        PieceSchedule schedule = schedule(queue);
        long bytes = thread.getCurrentThreadAllocatedBytes() - before;
        assertEquals(300, schedule.eligibleGroups("a").size());
        long perPiece = bytes / (GROUPS * PIECES_PER_GROUP);
        assertTrue(perPiece <= MAX_BYTES_PER_PIECE, "bytes for each piece: " + perPiece);
    }

    /** Guards against a request whose pieces block the instance that queues them. */
    @Test
    void piecesOfALargeRequestAreQueuedAndTakenInBatchesAtLittleCost() {
        List<Piece> pieces = new ArrayList<>();
        for (int number = 0; number < LARGE_REQUEST_PIECES; number++) {
            pieces.add(piece("large", number, 1, NOW));
        }
        ThreadMXBean thread = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = thread.getCurrentThreadAllocatedBytes();
        PieceQueue queue = PieceQueue.of(pieces);
        for (int taken = 0; taken < LARGE_REQUEST_PIECES; taken += SPEC.maxPieces()) {
            queue.removeAll(
                    pieces.subList(
                            taken, Math.min(taken + SPEC.maxPieces(), LARGE_REQUEST_PIECES)));
        }
        long perPiece = (thread.getCurrentThreadAllocatedBytes() - before) / LARGE_REQUEST_PIECES;
        assertTrue(queue.isEmpty());
        assertTrue(perPiece <= MAX_BYTES_PER_LARGE_REQUEST_PIECE, "bytes: " + perPiece);
    }

    @Test
    void equalPiecesAreRemovedOneByOne() {
        Piece first = piece("r", 0, 1, NOW);
        Piece second = piece("r", 0, 1, NOW);
        PieceQueue queue = PieceQueue.of(List.of(first, second));
        queue.remove(first);
        assertEquals(1, queue.groups().size());
        queue.remove(second);
        assertTrue(queue.isEmpty());
        queue.remove(second);
        assertTrue(queue.isEmpty());
    }

    /** Compares with sorting all groups anew. */
    @Property(seed = "2812", tries = 300)
    void groupsAreInOrderOfPriorityAndDueTimeAfterAnyAdditionsAndRemovals(
            @ForAll @Size(max = 60) List<@IntRange(max = 400) Integer> steps) {
        PieceQueue queue = new PieceQueue();
        List<Piece> expected = new ArrayList<>();
        for (int step : steps) {
            if (step % 4 == 3 && !expected.isEmpty()) {
                queue.remove(expected.remove(step % expected.size()));
            } else {
                int request = step % 7;
                Piece piece = piece("r" + request, step / 7, request % 3, NOW + request * 37 % 5);
                queue.add(piece);
                expected.add(piece);
            }
        }
        expected.sort(
                Comparator.comparingInt(Piece::priority)
                        .thenComparingLong(Piece::dueAt)
                        .thenComparing(Piece::requestId)
                        .thenComparingInt(Piece::number));
        List<Piece> queued = new ArrayList<>();
        queue.groups().forEach(group -> queued.addAll(group.pieces()));
        assertEquals(expected, queued);
    }

    private static PieceSchedule schedule(PieceQueue queue) {
        return PieceSchedule.of(
                SPEC, queue, new PieceSchedule.Capacity(0.5, Map.of("a", 6), Map.of("a", 1)), NOW);
    }

    private static Piece piece(String requestId, int number, int priority, long dueAt) {
        return new Piece(
                requestId,
                1,
                number,
                "s",
                "k",
                List.of(),
                60_000,
                "a",
                dueAt + 4_000,
                dueAt,
                priority);
    }
}
