package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Guards against an overload that makes every request late, and against unnecessary transfers of
 * results between data centres.
 */
final class PieceScheduleTest {

    /** One replica completes ten pieces in 300 ms. */
    private static final BatchSpec SPEC = new BatchSpec(1, 2, 10, 200, 10, 100_000_000, 4_000);

    private static final long NOW = 10_000;
    private static final int SMALL_RESULT_BYTES = 8_000;
    private static final int LARGE_RESULT_BYTES = 1_500_000;

    /** Two replicas without a free slot that complete 20 pieces in 300 ms. */
    private static final PieceSchedule.Capacity BUSY = capacity(Map.of());

    private static final PieceSchedule.Capacity FREE = capacity(Map.of("a", 1, "b", 1));

    @Test
    void underOverloadSomeRequestsAreOnTimeInsteadOfAllSlightlyLate() {
        List<Piece> pieces = new ArrayList<>();
        for (int request = 0; request < 50; request++) {
            pieces.addAll(
                    request(
                            "r" + (100 + request),
                            4,
                            SMALL_RESULT_BYTES,
                            "",
                            NOW + 1_000 + request));
        }
        // The calls in progress take another 100 ms and a full call 300 ms; 44 pieces can still
        // complete on time.
        assertEquals(44, schedule(pieces, BUSY).onTimePieces().size());
    }

    @Test
    void pieceThatCannotBeOnTimeWaitsBehindPiecesThatCan() {
        List<Piece> pieces =
                concatenated(
                        request("late", 1, SMALL_RESULT_BYTES, "", NOW + 100),
                        request("good", 1, SMALL_RESULT_BYTES, "", NOW + 5_000));
        assertEquals("good", piecesInOrder(schedule(pieces, BUSY)).get(0).requestId());
    }

    @Test
    void piecesThatCannotBeOnTimeDoNotDelayLaterPieces() {
        List<Piece> pieces = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            pieces.addAll(request("tight" + request, 4, SMALL_RESULT_BYTES, "", NOW + 700));
        }
        pieces.addAll(request("later", 4, SMALL_RESULT_BYTES, "", NOW + 1_500));
        List<String> order =
                piecesInOrder(schedule(pieces, BUSY)).stream()
                        .map(Piece::requestId)
                        .distinct()
                        .toList();
        assertTrue(order.indexOf("later") < 10, order.toString());
    }

    /** Guards against urgent requests that are late while less urgent ones are on time. */
    @Test
    void underOverloadRequestsWithAHigherPriorityAreOnTime() {
        List<Piece> pieces = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            pieces.addAll(request("common" + request, 4, SMALL_RESULT_BYTES, "", NOW + 1_000, 2));
            pieces.addAll(request("urgent" + request, 2, SMALL_RESULT_BYTES, "", NOW + 1_000, 0));
        }
        PieceSchedule schedule = schedule(pieces, BUSY);
        assertEquals(
                40,
                schedule.onTimePieces().stream().filter(piece -> piece.priority() == 0).count());
        assertTrue(schedule.latePieces().stream().allMatch(piece -> piece.priority() == 2));
    }

    @Test
    void piecesAreComputedInTheDataCentreThatUsesTheResults() {
        List<Piece> pieces = request("r", 2, LARGE_RESULT_BYTES, "a", NOW + 2_000);
        PieceSchedule schedule = schedule(pieces, FREE);
        assertEquals(1, schedule.eligibleGroups("a").size());
        assertTrue(schedule.eligibleGroups("b").isEmpty());
    }

    @Test
    void piecesThatWouldBeLateInThePreferredDataCentreMayBeComputedElsewhere() {
        List<Piece> pieces = new ArrayList<>();
        for (int request = 0; request < 12; request++) {
            pieces.addAll(request("r" + (10 + request), 4, LARGE_RESULT_BYTES, "a", NOW + 1_000));
        }
        PieceSchedule schedule = schedule(pieces, FREE);
        int moved = schedule.eligibleGroups("b").size();
        assertTrue(moved > 0 && moved < 12, "moved " + moved);
        assertEquals(12, schedule.eligibleGroups("a").size());
    }

    @Test
    void latePiecesWithLargeResultsAreNotMoved() {
        List<Piece> pieces = request("r", 2, LARGE_RESULT_BYTES, "a", NOW);
        assertTrue(schedule(pieces, FREE).eligibleGroups("b").isEmpty());
    }

    @Test
    void piecesOfADataCentreWithoutReplicasAreComputedAnywhere() {
        List<Piece> pieces = request("r", 2, LARGE_RESULT_BYTES, "elsewhere", NOW + 2_000);
        assertEquals(1, schedule(pieces, FREE).eligibleGroups("b").size());
    }

    /** Guards against pieces that no replica may compute, or that are computed twice. */
    @Property(seed = "4711", tries = 300)
    void everyPieceIsScheduledOnceAndMayBeComputedBySomeReplica(
            @ForAll @Size(max = 40) List<@IntRange(min = -500, max = 3_000) Integer> dueIn) {
        List<Piece> pieces = new ArrayList<>();
        for (int i = 0; i < dueIn.size(); i++) {
            String dataCentre = i % 3 == 0 ? "" : i % 3 == 1 ? "a" : "c";
            pieces.addAll(
                    request(
                            "r" + i,
                            1 + i % 4,
                            i % 2 == 0 ? SMALL_RESULT_BYTES : LARGE_RESULT_BYTES,
                            dataCentre,
                            NOW + dueIn.get(i)));
        }
        PieceSchedule schedule = schedule(pieces, BUSY);
        assertEquals(pieces.size(), piecesInOrder(schedule).size());
        assertEquals(Set.copyOf(pieces), new HashSet<>(piecesInOrder(schedule)));
        Set<Piece> eligible = new HashSet<>();
        schedule.eligibleGroups("a").forEach(eligible::addAll);
        schedule.eligibleGroups("b").forEach(eligible::addAll);
        assertEquals(Set.copyOf(pieces), eligible);
    }

    private static List<Piece> piecesInOrder(PieceSchedule schedule) {
        return concatenated(schedule.onTimePieces(), schedule.latePieces());
    }

    private static PieceSchedule schedule(List<Piece> pieces, PieceSchedule.Capacity capacity) {
        return PieceSchedule.of(SPEC, PieceQueue.of(pieces), capacity, NOW);
    }

    private static PieceSchedule.Capacity capacity(Map<String, Integer> free) {
        return new PieceSchedule.Capacity(20 / 300.0, Map.of("a", 1, "b", 1), free);
    }

    private static List<Piece> concatenated(List<Piece> some, List<Piece> more) {
        List<Piece> all = new ArrayList<>(some);
        all.addAll(more);
        return all;
    }

    private static List<Piece> request(
            String id, int count, long bytes, String dataCentre, long dueAt) {
        return request(id, count, bytes, dataCentre, dueAt, 1);
    }

    private static List<Piece> request(
            String id, int count, long bytes, String dataCentre, long dueAt, int priority) {
        List<Piece> pieces = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            pieces.add(
                    new Piece(
                            id,
                            0,
                            n,
                            "s",
                            "k",
                            List.of(),
                            bytes,
                            dataCentre,
                            dueAt + 4_000,
                            dueAt,
                            priority));
        }
        return pieces;
    }
}
