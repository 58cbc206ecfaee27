package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
     * A group of the queue.
     *
     * @param onTime whether the capacity suffices to complete the pieces by their due time
     * @param mayRunElsewhere whether the pieces may be computed outside their preferred data centre
     */
    private record PlannedGroup(PieceQueue.Group group, boolean onTime, boolean mayRunElsewhere) {

        private List<Piece> pieces() {
            return group.pieces();
        }

        private Piece first() {
            return group.first();
        }
    }

    private final List<PlannedGroup> onTimeGroups;
    private final List<PlannedGroup> lateGroups;
    private final Capacity capacity;

    private PieceSchedule(
            List<PlannedGroup> onTimeGroups, List<PlannedGroup> lateGroups, Capacity capacity) {
        this.onTimeGroups = onTimeGroups;
        this.lateGroups = lateGroups;
        this.capacity = capacity;
    }

    /** Creates the schedule for the pieces of one service that are pending at the given time. */
    public static PieceSchedule of(BatchSpec spec, PieceQueue queue, Capacity capacity, long now) {
        Planner planner = new Planner(spec, capacity, queue, now);
        List<PlannedGroup> onTimeGroups = new ArrayList<>();
        List<PlannedGroup> lateGroups = new ArrayList<>();
        for (PieceQueue.Group group : queue.groups()) {
            PlannedGroup planned = planner.plan(group);
            (planned.onTime() ? onTimeGroups : lateGroups).add(planned);
        }
        lateGroups.sort(PieceSchedule::compareByPriorityAndDeadline);
        return new PieceSchedule(onTimeGroups, lateGroups, capacity);
    }

    private static int compareByPriorityAndDeadline(PlannedGroup a, PlannedGroup b) {
        return a.group().priority() != b.group().priority()
                ? Integer.compare(a.group().priority(), b.group().priority())
                : Long.compare(a.first().deadlineAt(), b.first().deadlineAt());
    }

    /** Returns the pieces that can complete by their due time, the most urgent first. */
    public List<Piece> onTimePieces() {
        return pieces(onTimeGroups);
    }

    /** Returns the pieces that cannot complete by their due time, the earliest deadline first. */
    public List<Piece> latePieces() {
        return pieces(lateGroups);
    }

    private static List<Piece> pieces(List<PlannedGroup> groups) {
        List<Piece> pieces = new ArrayList<>();
        groups.forEach(group -> pieces.addAll(group.pieces()));
        return pieces;
    }

    /**
     * Returns the preferred data centre of the most urgent pieces, or an empty string if there is
     * no preference.
     */
    public String mostUrgentDataCentre() {
        List<PlannedGroup> mostUrgent = onTimeGroups.isEmpty() ? lateGroups : onTimeGroups;
        return mostUrgent.isEmpty() ? "" : mostUrgent.get(0).first().dataCentre();
    }

    /**
     * Returns the pieces that the replicas of a data centre may compute, grouped by request and
     * stage. Groups on time come first. Among the groups on time and among the late groups, those
     * that prefer the data centre come first.
     */
    public List<List<Piece>> eligibleGroups(String dataCentre) {
        List<List<Piece>> eligible = new ArrayList<>();
        for (List<PlannedGroup> groups : List.of(onTimeGroups, lateGroups)) {
            List<List<Piece>> fromElsewhere = new ArrayList<>();
            for (PlannedGroup group : groups) {
                if (isLocalTo(group, dataCentre)) {
                    eligible.add(group.pieces());
                } else if (group.mayRunElsewhere()) {
                    fromElsewhere.add(group.pieces());
                }
            }
            eligible.addAll(fromElsewhere);
        }
        return eligible;
    }

    private boolean isLocalTo(PlannedGroup group, String dataCentre) {
        String preferredDataCentre = group.first().dataCentre();
        return preferredDataCentre.equals(dataCentre) || !capacity.hasReplicas(preferredDataCentre);
    }

    /** Allocates the capacity to groups in the order of their due times. */
    private static final class Planner {

        private final BatchSpec spec;
        private final Capacity capacity;
        private final long now;
        private final Map<String, DataCentreLoad> loads = new HashMap<>();
        private int pendingPieces;
        private int plannedPieces;

        private Planner(BatchSpec spec, Capacity capacity, PieceQueue queue, long now) {
            this.spec = spec;
            this.capacity = capacity;
            this.now = now;
            for (PieceQueue.Group group : queue.groups()) {
                loadOf(group.first().dataCentre()).pendingPieces += group.pieces().size();
                pendingPieces += group.pieces().size();
            }
        }

        private DataCentreLoad loadOf(String dataCentre) {
            return loads.computeIfAbsent(dataCentre, name -> new DataCentreLoad(name, capacity));
        }

        private PlannedGroup plan(PieceQueue.Group group) {
            int size = group.pieces().size();
            DataCentreLoad load = loadOf(group.first().dataCentre());
            boolean onTimeInPreferred =
                    expectedEnd(
                                    load.plannedPieces,
                                    piecesInCall(load),
                                    load.piecesPerMilli,
                                    load.hasFreeReplica)
                            <= group.dueAt();
            if (onTimeInPreferred) {
                load.plannedPieces += size;
                plannedPieces += size;
                return new PlannedGroup(group, true, false);
            }
            boolean onTimeElsewhere =
                    expectedEnd(
                                    plannedPieces,
                                    Math.min(spec.maxPieces(), pendingPieces),
                                    capacity.piecesPerMilli(),
                                    !capacity.freeReplicasByDataCentre().isEmpty())
                            <= group.dueAt();
            if (onTimeElsewhere) {
                plannedPieces += size;
                return new PlannedGroup(group, true, true);
            }
            return new PlannedGroup(group, false, group.first().resultBytes() < LARGE_RESULT_BYTES);
        }

        /**
         * Returns the number of pieces in a call for a data centre. A call is filled with pieces
         * that are behind in the queue, which also delay the first ones.
         */
        private int piecesInCall(DataCentreLoad load) {
            return Math.min(
                    spec.maxPieces(), load.hasReplicas ? load.pendingPieces : pendingPieces);
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

    /** Capacity of one data centre and the pieces that prefer it. */
    private static final class DataCentreLoad {

        private final boolean hasReplicas;
        private final boolean hasFreeReplica;
        private final double piecesPerMilli;
        private int pendingPieces;
        private int plannedPieces;

        private DataCentreLoad(String dataCentre, Capacity capacity) {
            hasReplicas = capacity.hasReplicas(dataCentre);
            hasFreeReplica = capacity.hasFreeReplica(dataCentre);
            piecesPerMilli = capacity.rateIn(dataCentre);
        }
    }
}
