package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Decides which pieces are sent to which replica in one call. A call costs much besides its pieces,
 * so pieces wait while all replicas work, and go together when one is free. No call is sent to wait
 * at a replica: its results would take room long before they are made.
 */
public final class BatchSelection {

    /**
     * Pieces for one replica.
     *
     * @param pieces at least one and at most as many as the replica takes
     */
    public record Batch(Replica replica, List<Piece> pieces) {}

    private BatchSelection() {}

    /**
     * The next batch to send now.
     *
     * @param schedule pieces that wait
     * @param candidates replicas; their load counts the calls that they are known to have
     * @param usedBytes space in use at a replica
     * @return empty if the pieces should wait for a call to end or a result to be released
     */
    public static Optional<Batch> nextBatch(
            BatchSpec spec,
            PieceSchedule schedule,
            List<Candidate> candidates,
            ToLongFunction<ReplicaId> usedBytes) {
        String preferredDataCentre = schedule.mostUrgentDataCentre();
        Comparator<Candidate> byLoad =
                Comparator.comparingDouble(Candidate::load)
                        .thenComparing(
                                candidate ->
                                        !candidate
                                                .replica()
                                                .dataCentre()
                                                .equals(preferredDataCentre));
        return candidates.stream()
                .filter(candidate -> hasFreeSlot(spec, candidate))
                .sorted(byLoad)
                .map(candidate -> batchFor(spec, schedule, candidate.replica(), usedBytes))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Whether a replica would begin a call at once. */
    public static boolean hasFreeSlot(BatchSpec spec, Candidate candidate) {
        return !candidate.ejected() && candidate.load() < spec.slots();
    }

    /**
     * The most urgent pieces whose results find room at the replica. Those of one request go in one
     * call if they can: the first results of a request would take room until the last one is made.
     */
    private static Optional<Batch> batchFor(
            BatchSpec spec,
            PieceSchedule schedule,
            Replica replica,
            ToLongFunction<ReplicaId> usedBytes) {
        List<List<Piece>> groups = schedule.eligibleGroups(replica.dataCentre());
        long freeBytes = spec.resultMemoryBytes() - usedBytes.applyAsLong(replica.id());
        List<Piece> chosen = new ArrayList<>();
        for (List<Piece> group : groups) {
            long bytes = group.stream().mapToLong(Piece::resultBytes).sum();
            boolean fits = chosen.size() + group.size() <= spec.maxPieces() && bytes <= freeBytes;
            if (fits) {
                chosen.addAll(group);
                freeBytes -= bytes;
            }
        }
        if (chosen.isEmpty()) {
            chosen = individualPiecesThatFit(spec, groups, freeBytes);
        }
        return chosen.isEmpty() ? Optional.empty() : Optional.of(new Batch(replica, chosen));
    }

    private static List<Piece> individualPiecesThatFit(
            BatchSpec spec, List<List<Piece>> groups, long room) {
        List<Piece> chosen = new ArrayList<>();
        long freeBytes = room;
        for (List<Piece> group : groups) {
            for (Piece piece : group) {
                if (chosen.size() < spec.maxPieces() && piece.resultBytes() <= freeBytes) {
                    chosen.add(piece);
                    freeBytes -= piece.resultBytes();
                }
            }
        }
        return chosen;
    }
}
