package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Pending pieces of one service, grouped by request and stage. The groups are kept in the order in
 * which capacity is allocated to them, so that a schedule needs one pass over the queue and a
 * backlog does not make each decision slower than the calls that it plans. Not thread-safe.
 */
public final class PieceQueue {

    /** Pending pieces of one request and stage; the request needs all of them. Immutable. */
    record Group(GroupId id, int priority, long dueAt, List<Piece> pieces) {

        Piece first() {
            return pieces.get(0);
        }

        private Group withPieces(List<Piece> newPieces) {
            return new Group(id, priority, dueAt, List.copyOf(newPieces));
        }
    }

    private record GroupId(String requestId, int stage) {

        private static GroupId of(Piece piece) {
            return new GroupId(piece.requestId(), piece.stage());
        }
    }

    private static final Comparator<Piece> BY_NUMBER = Comparator.comparingInt(Piece::number);

    private final Map<GroupId, Group> groupsById = new HashMap<>();
    private final TreeSet<Group> groups = new TreeSet<>(PieceQueue::compare);

    /** Creates a queue that contains the given pieces. */
    public static PieceQueue of(Collection<Piece> pieces) {
        PieceQueue queue = new PieceQueue();
        queue.addAll(pieces);
        return queue;
    }

    /**
     * Adds pieces. Equal pieces are kept beside each other. Each group is sorted once, so that the
     * cost does not grow with the square of the number of pieces that a client has stated.
     */
    public void addAll(Collection<Piece> pieces) {
        if (pieces.size() == 1) {
            add(pieces.iterator().next());
            return;
        }
        byGroup(pieces).forEach(this::addToGroup);
    }

    /** Adds a piece. */
    public void add(Piece piece) {
        addToGroup(GroupId.of(piece), List.of(piece));
    }

    /** Removes pieces, which are identified by reference. Each group is copied once. */
    public void removeAll(Collection<Piece> pieces) {
        byGroup(pieces).forEach(this::removeFromGroup);
    }

    /** Removes a piece, which is identified by reference. */
    public void remove(Piece piece) {
        removeFromGroup(GroupId.of(piece), List.of(piece));
    }

    private static Map<GroupId, List<Piece>> byGroup(Collection<Piece> pieces) {
        Map<GroupId, List<Piece>> piecesByGroup = new HashMap<>();
        for (Piece piece : pieces) {
            piecesByGroup.computeIfAbsent(GroupId.of(piece), id -> new ArrayList<>()).add(piece);
        }
        return piecesByGroup;
    }

    private void addToGroup(GroupId id, List<Piece> added) {
        Group group = groupsById.get(id);
        List<Piece> pieces = new ArrayList<>(group == null ? List.of() : group.pieces());
        pieces.addAll(added);
        pieces.sort(BY_NUMBER);
        if (group == null) {
            Piece first = pieces.get(0);
            put(new Group(id, first.priority(), first.dueAt(), List.copyOf(pieces)));
        } else {
            replace(group, pieces);
        }
    }

    private void removeFromGroup(GroupId id, List<Piece> removed) {
        Group group = groupsById.get(id);
        if (group == null) {
            return;
        }
        Set<Piece> removedByReference = Collections.newSetFromMap(new IdentityHashMap<>());
        removedByReference.addAll(removed);
        List<Piece> pieces = new ArrayList<>(group.pieces());
        pieces.removeIf(removedByReference::contains);
        replace(group, pieces);
    }

    public boolean isEmpty() {
        return groups.isEmpty();
    }

    /** Returns a view of the groups, in order of priority and due time. */
    Collection<Group> groups() {
        return Collections.unmodifiableCollection(groups);
    }

    private void replace(Group group, List<Piece> pieces) {
        groups.remove(group);
        groupsById.remove(group.id());
        if (!pieces.isEmpty()) {
            put(group.withPieces(pieces));
        }
    }

    private void put(Group group) {
        groupsById.put(group.id(), group);
        groups.add(group);
    }

    /** Compares by priority and due time; the other criteria only break ties. */
    private static int compare(Group a, Group b) {
        if (a.priority() != b.priority()) {
            return Integer.compare(a.priority(), b.priority());
        }
        if (a.dueAt() != b.dueAt()) {
            return Long.compare(a.dueAt(), b.dueAt());
        }
        int byRequest = a.id().requestId().compareTo(b.id().requestId());
        return byRequest != 0 ? byRequest : Integer.compare(a.id().stage(), b.id().stage());
    }
}
