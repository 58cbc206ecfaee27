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
 * Order in which the waiting pieces of one service are made. In an overload a queue by due time
 * makes every request a little late; here the pieces that the capacity cannot make in time wait
 * behind those that it can. Pieces stay in the data centre that uses their results, unless they
 * would be late there and can be on time elsewhere. Immutable.
 */
public final class PieceSchedule {

    /** Size from which a late result is not moved to another data centre, in bytes. */
    private static final long HEAVY_BYTES = 256 * 1024;

    /**
     * What the replicas of the service can make.
     *
     * @param piecesPerMilli rate of all of them
     * @param replicas usable replicas by data centre
     * @param free those of them that would begin a call at once
     */
    public record Capacity(
            double piecesPerMilli, Map<String, Integer> replicas, Map<String, Integer> free) {

        private int total() {
            return replicas.values().stream().mapToInt(Integer::intValue).sum();
        }

        private boolean serves(String dataCentre) {
            return replicas.containsKey(dataCentre);
        }

        private double rateIn(String dataCentre) {
            return serves(dataCentre)
                    ? piecesPerMilli * replicas.get(dataCentre) / total()
                    : piecesPerMilli;
        }

        private boolean hasFree(String dataCentre) {
            return serves(dataCentre) ? free.containsKey(dataCentre) : !free.isEmpty();
        }
    }

    /**
     * Pieces of one request and stage, which are of use only together.
     *
     * @param onTime whether the capacity suffices to make them in time
     * @param movable whether they may be made outside the data centre that uses their results
     */
    private record Group(List<Piece> pieces, boolean onTime, boolean movable) {

        private Piece first() {
            return pieces.get(0);
        }
    }

    private final List<Group> groups;
    private final Capacity capacity;

    private PieceSchedule(List<Group> groups, Capacity capacity) {
        this.groups = groups;
        this.capacity = capacity;
    }

    /** Orders the pieces of one service that wait at the given time. */
    public static PieceSchedule of(
            BatchSpec spec, Iterable<Piece> waiting, Capacity capacity, long now) {
        Planner planner = new Planner(spec, capacity, now);
        List<Group> planned =
                byRequest(waiting).stream()
                        .sorted(
                                Comparator.comparingLong((List<Piece> pieces) -> due(pieces))
                                        .thenComparing(pieces -> pieces.get(0).requestId()))
                        .map(planner::plan)
                        .toList();
        Stream<Group> onTime = planned.stream().filter(Group::onTime);
        Stream<Group> late =
                planned.stream()
                        .filter(group -> !group.onTime())
                        .sorted(Comparator.comparingLong(group -> group.first().usefulUntil()));
        return new PieceSchedule(Stream.concat(onTime, late).toList(), capacity);
    }

    /** Pieces that the capacity can make in time, the most urgent first. */
    public List<Piece> onTime() {
        return pieces(Group::onTime);
    }

    /** The other pieces, the first to lose its use foremost. */
    public List<Piece> late() {
        return pieces(group -> !group.onTime());
    }

    private List<Piece> pieces(Predicate<Group> wanted) {
        return groups.stream().filter(wanted).flatMap(group -> group.pieces().stream()).toList();
    }

    /** Data centre in which the most urgent pieces should be made, empty if that is open. */
    public String firstDataCentre() {
        return groups.isEmpty() ? "" : groups.get(0).first().dataCentre();
    }

    /**
     * Pieces that a replica of a data centre may make, the most urgent first, those of one request
     * together.
     */
    public List<List<Piece>> eligible(String dataCentre) {
        Comparator<Group> ownFirst =
                Comparator.comparing((Group group) -> !group.onTime())
                        .thenComparing(group -> !belongs(group, dataCentre));
        return groups.stream()
                .filter(group -> belongs(group, dataCentre) || group.movable())
                .sorted(ownFirst)
                .map(Group::pieces)
                .toList();
    }

    private boolean belongs(Group group, String dataCentre) {
        String home = group.first().dataCentre();
        return home.equals(dataCentre) || !capacity.serves(home);
    }

    private static long due(List<Piece> pieces) {
        return pieces.get(0).dueAt();
    }

    private static List<List<Piece>> byRequest(Iterable<Piece> waiting) {
        List<Piece> pieces = new ArrayList<>();
        waiting.forEach(pieces::add);
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

    /** Assigns the capacity to groups in the order of their due times. */
    private static final class Planner {

        private final BatchSpec spec;
        private final Capacity capacity;
        private final long now;
        private final Map<String, Integer> aheadIn = new HashMap<>();
        private int ahead;

        private Planner(BatchSpec spec, Capacity capacity, long now) {
            this.spec = spec;
            this.capacity = capacity;
            this.now = now;
        }

        private Group plan(List<Piece> pieces) {
            String home = pieces.get(0).dataCentre();
            int before = aheadIn.getOrDefault(home, 0);
            boolean onTimeAtHome =
                    end(before, capacity.rateIn(home), capacity.hasFree(home)) <= due(pieces);
            if (onTimeAtHome) {
                aheadIn.merge(home, pieces.size(), Integer::sum);
                ahead += pieces.size();
                return new Group(pieces, true, false);
            }
            boolean onTimeElsewhere =
                    end(ahead, capacity.piecesPerMilli(), !capacity.free().isEmpty())
                            <= due(pieces);
            if (onTimeElsewhere) {
                ahead += pieces.size();
                return new Group(pieces, true, true);
            }
            return new Group(pieces, false, pieces.get(0).resultBytes() < HEAVY_BYTES);
        }

        /** Expected end of a piece behind others; a call in progress has half of its time left. */
        private double end(int before, double piecesPerMilli, boolean free) {
            double wait = free ? 0 : spec.callMillis() / 2;
            double queue = piecesPerMilli > 0 ? before / piecesPerMilli : 0;
            int together = Math.min(spec.maxPieces(), before + 1);
            return now + wait + queue + spec.durationMillis(together);
        }
    }
}
