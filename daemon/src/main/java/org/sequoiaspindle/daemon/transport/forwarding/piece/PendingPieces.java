package org.sequoiaspindle.daemon.transport.forwarding.piece;

import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.coordination.forwarding.piece.PieceQueue;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;

/** Queued pieces of one service, with the futures that receive the results. Not thread-safe. */
final class PendingPieces {

    /** A queued or executing piece, with the future that receives the result. */
    record PendingPiece(
            Piece piece, BooleanSupplier isNeeded, CompletableFuture<PieceResult> result) {}

    /** By identity because each of several equal pieces needs a result. */
    private final Map<Piece, PendingPiece> pendingByPiece = new IdentityHashMap<>();

    private final PieceQueue queue = new PieceQueue();

    /** Returns the pieces in the order of the schedule. */
    PieceQueue queue() {
        return queue;
    }

    boolean isEmpty() {
        return pendingByPiece.isEmpty();
    }

    int size() {
        return pendingByPiece.size();
    }

    void addAll(List<PendingPiece> pieces) {
        List<Piece> added = new ArrayList<>(pieces.size());
        for (PendingPiece pending : pieces) {
            if (pendingByPiece.put(pending.piece(), pending) == null) {
                added.add(pending.piece());
            }
        }
        queue.addAll(added);
    }

    /** Removes pieces that are about to be sent. */
    List<PendingPiece> take(Collection<Piece> pieces) {
        List<PendingPiece> taken = new ArrayList<>(pieces.size());
        queue.removeAll(pieces);
        for (Piece piece : pieces) {
            taken.add(pendingByPiece.remove(piece));
        }
        return taken;
    }

    /** Removes pieces and completes their results with the reason. */
    void fail(Collection<Piece> pieces, PieceResult.Reason reason) {
        complete(take(pieces), reason);
    }

    void failAll(PieceResult.Reason reason) {
        fail(List.copyOf(pendingByPiece.keySet()), reason);
    }

    /** Removes the pieces whose results nobody needs any more. */
    void dropUnneeded() {
        List<Piece> unneeded = new ArrayList<>();
        for (PendingPiece pending : pendingByPiece.values()) {
            if (!pending.isNeeded().getAsBoolean()) {
                unneeded.add(pending.piece());
            }
        }
        fail(unneeded, PieceResult.Reason.LATE);
    }

    /** Completes the results of pieces that are not in the queue. */
    static void complete(List<PendingPiece> pieces, PieceResult.Reason reason) {
        pieces.forEach(pending -> pending.result().complete(new PieceResult.NotCompleted(reason)));
    }
}
