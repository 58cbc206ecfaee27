package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;

/**
 * Order in which the pending pieces of one service are computed. Under overload, a queue sorted by
 * due time makes every request slightly late. This schedule therefore places the pieces that cannot
 * complete on time behind those that can. A piece is computed in the data centre that uses the
 * result, unless the piece would be late there and can be on time elsewhere. Immutable.
 */
public final class PieceSchedule {

    /** Late pieces with results of this size or larger are not moved to another data centre. */
    private static final long LARGE_RESULT_BYTES = 256 * 1024;

    /**
     * Capacity of the replicas of the service.
     *
     * @param piecesPerMilli throughput of all replicas, in pieces a millisecond
     * @param replicasByDataCentre number of usable replicas in each data centre
     * @param freeReplicasByDataCentre number of usable replicas with a free slot in each data
     *     centre
     */
    public record Capacity(
            double piecesPerMilli,
            Map<String, Integer> replicasByDataCentre,
            Map<String, Integer> freeReplicasByDataCentre) {

        private int totalReplicas() {
            return replicasByDataCentre.values().stream().mapToInt(Integer::intValue).sum();
        }

        private boolean hasReplicas(String dataCentre) {
            return replicasByDataCentre.containsKey(dataCentre);
        }

        private double rateIn(String dataCentre) {
            return hasReplicas(dataCentre)
                    ? piecesPerMilli * replicasByDataCentre.get(dataCentre) / totalReplicas()
                    : piecesPerMilli;
        }

        private boolean hasFreeReplica(String dataCentre) {
            return hasReplicas(dataCentre)
                    ? freeReplicasByDataCentre.containsKey(dataCentre)
                    : !freeReplicasByDataCentre.isEmpty();
        }
    }

    /**
     * All pending pieces of one request and stage; the request needs all of them.
     *
     * @param onTime whether the capacity suffices to complete the pieces by their due time
     * @param mayRunElsewhere whether the pieces may be computed outside their preferred data centre
     */
    private record PieceGroup(List<Piece> pieces, boolean onTime, boolean mayRunElsewhere) {

        private Piece first() {
            return pieces.get(0);
        }
    }

    /** Order in which capacity is allocated. Ties are broken in the same way on every call. */
    private static final Comparator<List<Piece>> BY_PRIORITY_AND_DUE_TIME =
            Comparator.comparingInt((List<Piece> pieces) -> pieces.get(0).priority())
                    .thenComparingLong(PieceSchedule::dueAt)
                    .thenComparing(pieces -> pieces.get(0).requestId());

    private static final Comparator<PieceGroup> BY_PRIORITY_AND_DEADLINE =
            Comparator.comparingInt((PieceGroup group) -> group.first().priority())
                    .thenComparingLong(group -> group.first().deadlineAt());

    private final List<PieceGroup> groups;
    private final Capacity capacity;

    private PieceSchedule(List<PieceGroup> groups, Capacity capacity) {
        this.groups = groups;
        this.capacity = capacity;
    }

    /** Creates the schedule for the pieces of one service that are pending at the given time. */
    public static PieceSchedule of(
            BatchSpec spec, Iterable<Piece> pending, Capacity capacity, long now) {
        List<List<Piece>> pendingGroups = groupByRequestAndStage(pending);
        Planner planner = new Planner(spec, capacity, pendingGroups, now);
        List<PieceGroup> plannedGroups =
                pendingGroups.stream().sorted(BY_PRIORITY_AND_DUE_TIME).map(planner::plan).toList();
        Stream<PieceGroup> onTimeGroups = plannedGroups.stream().filter(PieceGroup::onTime);
        Stream<PieceGroup> lateGroups =
                plannedGroups.stream()
                        .filter(group -> !group.onTime())
                        .sorted(BY_PRIORITY_AND_DEADLINE);
        return new PieceSchedule(Stream.concat(onTimeGroups, lateGroups).toList(), capacity);
    }

    /** Returns the pieces that can complete by their due time, the most urgent first. */
    public List<Piece> onTimePieces() {
        return pieces(PieceGroup::onTime);
    }

    /** Returns the pieces that cannot complete by their due time, the earliest deadline first. */
    public List<Piece> latePieces() {
        return pieces(group -> !group.onTime());
    }

    private List<Piece> pieces(Predicate<PieceGroup> filter) {
        return groups.stream().filter(filter).flatMap(group -> group.pieces().stream()).toList();
    }

    /**
     * Returns the preferred data centre of the most urgent pieces, or an empty string if there is
     * no preference.
     */
    public String mostUrgentDataCentre() {
        return groups.isEmpty() ? "" : groups.get(0).first().dataCentre();
    }

    /**
     * Returns the pieces that the replicas of a data centre may compute, grouped by request and
     * stage. Groups on time come first. Among the groups on time and among the late groups, those
     * that prefer the data centre come first.
     */
    public List<List<Piece>> eligibleGroups(String dataCentre) {
        Comparator<PieceGroup> onTimeAndLocalFirst =
                Comparator.comparing((PieceGroup group) -> !group.onTime())
                        .thenComparing(group -> !isLocalTo(group, dataCentre));
        return groups.stream()
                .filter(group -> isLocalTo(group, dataCentre) || group.mayRunElsewhere())
                .sorted(onTimeAndLocalFirst)
                .map(PieceGroup::pieces)
                .toList();
    }

    private boolean isLocalTo(PieceGroup group, String dataCentre) {
        String preferredDataCentre = group.first().dataCentre();
        return preferredDataCentre.equals(dataCentre) || !capacity.hasReplicas(preferredDataCentre);
    }

    private static long dueAt(List<Piece> pieces) {
        return pieces.get(0).dueAt();
    }

    private static List<List<Piece>> groupByRequestAndStage(Iterable<Piece> pending) {
        List<Piece> pieces = new ArrayList<>();
        pending.forEach(pieces::add);
        pieces.sort(Comparator.comparingInt(Piece::number));
        return List.copyOf(
                pieces.stream()
                        .collect(
                                Collectors.groupingBy(
                                        piece -> piece.requestId() + "/" + piece.stage(),
                                        LinkedHashMap::new,
                                        Collectors.toList()))
                        .values());
    }

    /** Allocates the capacity to groups in the order of their due times. */
    private static final class Planner {

        private final BatchSpec spec;
        private final Capacity capacity;
        private final long now;
        private final Map<String, Integer> pendingPiecesIn = new HashMap<>();
        private final Map<String, Integer> plannedPiecesIn = new HashMap<>();
        private int pendingPieces;
        private int plannedPieces;

        private Planner(
                BatchSpec spec, Capacity capacity, List<List<Piece>> pendingGroups, long now) {
            this.spec = spec;
            this.capacity = capacity;
            this.now = now;
            for (List<Piece> pieces : pendingGroups) {
                pendingPiecesIn.merge(pieces.get(0).dataCentre(), pieces.size(), Integer::sum);
                pendingPieces += pieces.size();
            }
        }

        private PieceGroup plan(List<Piece> pieces) {
            String preferredDataCentre = pieces.get(0).dataCentre();
            int piecesAhead = plannedPiecesIn.getOrDefault(preferredDataCentre, 0);
            boolean onTimeInPreferred =
                    expectedEnd(
                                    piecesAhead,
                                    piecesInCall(preferredDataCentre),
                                    capacity.rateIn(preferredDataCentre),
                                    capacity.hasFreeReplica(preferredDataCentre))
                            <= dueAt(pieces);
            if (onTimeInPreferred) {
                plannedPiecesIn.merge(preferredDataCentre, pieces.size(), Integer::sum);
                plannedPieces += pieces.size();
                return new PieceGroup(pieces, true, false);
            }
            boolean onTimeElsewhere =
                    expectedEnd(
                                    plannedPieces,
                                    Math.min(spec.maxPieces(), pendingPieces),
                                    capacity.piecesPerMilli(),
                                    !capacity.freeReplicasByDataCentre().isEmpty())
                            <= dueAt(pieces);
            if (onTimeElsewhere) {
                plannedPieces += pieces.size();
                return new PieceGroup(pieces, true, true);
            }
            return new PieceGroup(pieces, false, pieces.get(0).resultBytes() < LARGE_RESULT_BYTES);
        }

        /**
         * Returns the number of pieces in a call for a data centre. A call is filled with pieces
         * that are behind in the queue, which also delay the first ones.
         */
        private int piecesInCall(String dataCentre) {
            return Math.min(
                    spec.maxPieces(),
                    capacity.hasReplicas(dataCentre)
                            ? pendingPiecesIn.get(dataCentre)
                            : pendingPieces);
        }

        /**
         * Returns the expected completion time of a piece behind others in the queue. A call in
         * progress is assumed to have half of its time left.
         */
        private double expectedEnd(
                int piecesAhead, int piecesInCall, double piecesPerMilli, boolean hasFreeReplica) {
            double wait = hasFreeReplica ? 0 : spec.callOverheadMillis() / 2;
            double queueing = piecesPerMilli > 0 ? piecesAhead / piecesPerMilli : 0;
            return now + wait + queueing + spec.durationMillis(piecesInCall);
        }
    }
}
