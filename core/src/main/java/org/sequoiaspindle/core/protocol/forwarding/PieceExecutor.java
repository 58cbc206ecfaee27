package org.sequoiaspindle.core.protocol.forwarding;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.Piece;

/** Executes pieces of stages at replicas. Thread-safe. */
@FunctionalInterface
public interface PieceExecutor {

    /**
     * Executes one piece. The returned future never completes exceptionally.
     *
     * @param isNeeded returns whether the result is still needed; otherwise a pending piece is
     *     dropped
     */
    CompletionStage<PieceResult> execute(Piece piece, BooleanSupplier isNeeded);
}
