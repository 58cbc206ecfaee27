package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;

/** Message between an instance that needs pieces and the instance that batches them. */
public sealed interface PieceMessage {

    /**
     * Requests a piece.
     *
     * @param number identifier of the request on its connection
     * @param piece the piece, with times relative to the time of sending because clocks differ
     */
    record Request(long number, Piece piece) implements PieceMessage {}

    /** Cancels a request whose piece is not needed any more. */
    record Cancel(long number) implements PieceMessage {}

    /** Reply to a request. */
    record Reply(long number, PieceResult result) implements PieceMessage {}

    /** Releases results of earlier requests. */
    record Release(List<String> handles) implements PieceMessage {}

    /** Checks whether the peer is alive. */
    record Ping() implements PieceMessage {}

    /** Acknowledges a {@link Ping}. */
    record Pong() implements PieceMessage {}
}
