package org.sequoiaspindle.core.protocol.forwarding;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.Piece;

/** Has pieces of stages made by replicas. Thread-safe. */
@FunctionalInterface
public interface PieceExecutor {

    /**
     * Has one piece made; the stage never completes exceptionally.
     *
     * @param stillNeeded whether the result is still of use; a piece that waits is dropped if not
     */
    CompletionStage<PieceResult> execute(Piece piece, BooleanSupplier stillNeeded);
}
