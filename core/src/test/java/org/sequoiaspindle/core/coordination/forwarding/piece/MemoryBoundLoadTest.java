package org.sequoiaspindle.core.coordination.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.replica.ForwardingSamples;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Plays a load above the capacity of a service whose results occupy the memory of its replicas.
 * Guards against computing all pieces slightly late instead of most of them on time.
 */
final class MemoryBoundLoadTest {

    private static final int REPLICAS = 10;
    private static final long RESULT_BYTES = 130_000;
    private static final int MAX_PIECES = 65;
    private static final BatchSpec SPEC =
            new BatchSpec(1, 2, MAX_PIECES, 200, 2.7, MAX_PIECES * RESULT_BYTES, 4_000);

    /** Time for which a result is held after its call. */
    private static final long HOLD_MS = 600;

    private static final int PIECES_PER_REQUEST = 4;

    /** Requests in 10 ms. The memory suffices for about two thirds of their pieces. */
    private static final int REQUESTS_PER_STEP = 3;

    private static final long STEP_MS = 10;
    private static final long DUE_MS = 900;
    private static final long DEADLINE_MS = 5_000;
    private static final long WARM_UP_MS = 4_000;
    private static final long END_MS = 16_000;

    private record Event(long at, Runnable action) {}

    private final List<Replica> replicas = new ArrayList<>();
    private final Map<String, Integer> callsInProgress = new HashMap<>();
    private final ResultMemoryTracker memory = new ResultMemoryTracker();
    private final Set<Piece> pending = new LinkedHashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final Map<String, Integer> completedOnTime = new HashMap<>();
    private QueueWaitPredictor predictor = QueueWaitPredictor.initial(0);
    private long now;

    @Test
    void underOverloadMostOfTheCapacityServesRequestsOnTime() {
        for (int number = 0; number < REPLICAS; number++) {
            replicas.add(ForwardingSamples.replica("r" + number, 1, false));
        }
        int requests = 0;
        int counted = 0;
        for (now = 0; now < END_MS; now += STEP_MS) {
            for (int i = 0; i < REQUESTS_PER_STEP; i++) {
                boolean isCounted = now >= WARM_UP_MS && now < END_MS - DEADLINE_MS;
                counted += isCounted ? 1 : 0;
                arrive((isCounted ? "counted-" : "other-") + requests++);
            }
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            dispatch();
        }
        long served =
                completedOnTime.entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith("counted-"))
                        .filter(entry -> entry.getValue() == PIECES_PER_REQUEST)
                        .count();
        double share = (double) served / counted;
        assertTrue(share >= 0.4, () -> "on time: " + share);
    }

    private void arrive(String requestId) {
        for (int number = 0; number < PIECES_PER_REQUEST; number++) {
            pending.add(
                    new Piece(
                            requestId,
                            0,
                            number,
                            "s",
                            "k",
                            List.of(),
                            RESULT_BYTES,
                            "a",
                            now + DEADLINE_MS,
                            now + DUE_MS,
                            1));
        }
    }

    private void dispatch() {
        List<Candidate> candidates = candidates();
        if (candidates.stream().noneMatch(c -> BatchSelection.hasFreeSlot(SPEC, c))) {
            return;
        }
        predictor
                .findUnservable(SPEC, schedule(candidates), REPLICAS, now)
                .forEach(pending::remove);
        while (!pending.isEmpty()) {
            var batch =
                    BatchSelection.nextBatch(
                            SPEC,
                            schedule(candidates),
                            candidates,
                            replica -> memory.usedBytes(replica, now));
            if (batch.isEmpty()) {
                return;
            }
            start(batch.get());
            candidates = candidates();
        }
    }

    private void start(BatchSelection.Batch batch) {
        pending.removeAll(batch.pieces());
        String name = batch.replica().id().name();
        callsInProgress.merge(name, 1, Integer::sum);
        long bytes = batch.pieces().size() * RESULT_BYTES;
        memory.reserve(batch.replica().id(), bytes);
        long end = now + (long) SPEC.durationMillis(batch.pieces().size());
        events.add(
                new Event(
                        end,
                        () -> {
                            callsInProgress.merge(name, -1, Integer::sum);
                            predictor = predictor.afterCall(batch.pieces().size(), now);
                            for (Piece piece : batch.pieces()) {
                                if (end <= piece.dueAt()) {
                                    completedOnTime.merge(piece.requestId(), 1, Integer::sum);
                                }
                            }
                        }));
        events.add(new Event(end + HOLD_MS, () -> memory.unreserve(batch.replica().id(), bytes)));
    }

    private PieceSchedule schedule(List<Candidate> candidates) {
        int free =
                (int) candidates.stream().filter(c -> BatchSelection.hasFreeSlot(SPEC, c)).count();
        return PieceSchedule.of(
                SPEC,
                PieceQueue.of(pending),
                new PieceSchedule.Capacity(
                        predictor.piecesPerMilli(SPEC, REPLICAS, now),
                        Map.of("a", REPLICAS),
                        free == 0 ? Map.of() : Map.of("a", free)),
                now);
    }

    private List<Candidate> candidates() {
        return replicas.stream()
                .map(
                        replica ->
                                new Candidate(
                                        replica,
                                        callsInProgress.getOrDefault(replica.id().name(), 0),
                                        false,
                                        true))
                .toList();
    }
}
