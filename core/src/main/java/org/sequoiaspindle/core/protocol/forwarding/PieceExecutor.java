package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;

/** Executes pieces of stages at replicas. Thread-safe. */
@FunctionalInterface
public interface PieceExecutor {

    /**
     * Executes pieces of one service. Pieces that are passed together can be part of one call. The
     * returned futures, one for each piece in the same order, never complete exceptionally.
     *
     * @param isNeeded returns whether the results are still needed; otherwise pending pieces are
     *     dropped
     */
    List<CompletionStage<PieceResult>> execute(List<Piece> pieces, BooleanSupplier isNeeded);

    /** Executes one piece. */
    default CompletionStage<PieceResult> execute(Piece piece, BooleanSupplier isNeeded) {
        return execute(List.of(piece), isNeeded).get(0);
    }
}
