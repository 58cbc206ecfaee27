package org.sequoiaspindle.daemon.transport.forwarding.piece;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Executes pieces from this instance, with one batching executor for each service. Thread-safe. */
public final class LocalPieceExecutor implements PieceExecutor {

    private final Function<String, BatchingPieceExecutor> factory;
    private final ConcurrentMap<String, BatchingPieceExecutor> executors =
            new ConcurrentHashMap<>();

    /**
     * Creates an executor without batching executors.
     *
     * @param factory creates the batching executor of a service
     */
    public LocalPieceExecutor(Function<String, BatchingPieceExecutor> factory) {
        this.factory = factory;
    }

    @Override
    public List<CompletionStage<PieceResult>> execute(
            List<Piece> pieces, BooleanSupplier isNeeded) {
        return executors
                .computeIfAbsent(pieces.get(0).service(), factory)
                .execute(pieces, isNeeded);
    }

    /** Records that a call to release results at the replica has ended. */
    public void resultsReleased(Replica replica, List<String> handles) {
        BatchingPieceExecutor executor = executors.get(replica.service());
        if (executor != null) {
            executor.resultsReleased(replica, handles);
        }
    }
}
