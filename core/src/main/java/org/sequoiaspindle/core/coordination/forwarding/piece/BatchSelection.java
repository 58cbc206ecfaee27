package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaSelector.Candidate;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Selects the pieces that are sent to a replica in one call. A call has a high fixed cost, so
 * pieces are queued while all replicas are busy and sent as a batch once a replica has a free slot.
 * Calls are never queued at a replica, because a replica reserves memory for the results of a
 * queued call long before computing the results.
 */
public final class BatchSelection {

    /**
     * Pieces for one replica.
     *
     * @param pieces at least one, at most {@link BatchSpec#maxPieces()}
     */
    public record Batch(Replica replica, List<Piece> pieces) {}

    private BatchSelection() {}

    /**
     * Selects the next batch to send.
     *
     * @param schedule pending pieces
     * @param candidates replicas, with the number of calls in progress as the load
     * @param usedBytes result memory in use at a replica
     * @return empty if the pieces must wait until a call ends or a result is released
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

    /** Returns whether a replica would start another call immediately. */
    public static boolean hasFreeSlot(BatchSpec spec, Candidate candidate) {
        return !candidate.ejected() && candidate.load() < spec.slots();
    }

    /**
     * Selects the most urgent pieces whose results fit into the memory of the replica. The pieces
     * of a request are sent in one call if possible; otherwise the first results would occupy
     * memory until the last result is computed.
     */
    private static Optional<Batch> batchFor(
            BatchSpec spec,
            PieceSchedule schedule,
            Replica replica,
            ToLongFunction<ReplicaId> usedBytes) {
        List<List<Piece>> groups = schedule.eligibleGroups(replica.dataCentre());
        long freeBytes = spec.resultMemoryBytes() - usedBytes.applyAsLong(replica.id());
        List<Piece> selectedPieces = new ArrayList<>();
        for (List<Piece> group : groups) {
            if (selectedPieces.size() == spec.maxPieces()) {
                break;
            }
            long bytes = group.stream().mapToLong(Piece::resultBytes).sum();
            boolean fits =
                    selectedPieces.size() + group.size() <= spec.maxPieces() && bytes <= freeBytes;
            if (fits) {
                selectedPieces.addAll(group);
                freeBytes -= bytes;
            }
        }
        if (selectedPieces.isEmpty()) {
            selectedPieces = individualPiecesThatFit(spec, groups, freeBytes);
        }
        return selectedPieces.isEmpty()
                ? Optional.empty()
                : Optional.of(new Batch(replica, selectedPieces));
    }

    private static List<Piece> individualPiecesThatFit(
            BatchSpec spec, List<List<Piece>> groups, long initialFreeBytes) {
        List<Piece> selectedPieces = new ArrayList<>();
        long freeBytes = initialFreeBytes;
        for (List<Piece> group : groups) {
            for (Piece piece : group) {
                if (selectedPieces.size() < spec.maxPieces() && piece.resultBytes() <= freeBytes) {
                    selectedPieces.add(piece);
                    freeBytes -= piece.resultBytes();
                }
            }
        }
        return selectedPieces;
    }
}
