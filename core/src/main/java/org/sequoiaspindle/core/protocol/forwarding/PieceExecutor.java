package org.sequoiaspindle.core.protocol.forwarding;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.Piece;

/** Has pieces of stages computed by replicas. Thread-safe. */
@FunctionalInterface
public interface PieceExecutor {

    /**
     * Executes one piece. The returned stage never completes exceptionally.
     *
     * @param stillNeeded whether the result is still needed; a pending piece is dropped if not
     */
    CompletionStage<PieceResult> execute(Piece piece, BooleanSupplier stillNeeded);
}
