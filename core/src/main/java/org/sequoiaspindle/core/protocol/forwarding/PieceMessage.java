package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import org.sequoiaspindle.core.coordination.forwarding.Piece;

/** Message between an instance that needs pieces and the one that gathers them. */
public sealed interface PieceMessage {

    /**
     * Asks for a piece.
     *
     * @param number identifies the order on its connection
     * @param piece its times are relative to the moment of sending, since clocks differ
     */
    record Request(long number, Piece piece) implements PieceMessage {}

    /** The piece of an order is not needed any more. */
    record Cancel(long number) implements PieceMessage {}

    /** The end of an order. */
    record Reply(long number, PieceResult result) implements PieceMessage {}

    /** Results of earlier orders are not needed any more. */
    record Release(List<String> handles) implements PieceMessage {}

    /** Asks whether the other end is alive. */
    record Ping() implements PieceMessage {}

    /** Answers a {@link Ping}. */
    record Pong() implements PieceMessage {}
}
