package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;

/**
 * Message between an instance that needs pieces and the instance that batches them, or between one
 * that needs a permit and the issuer.
 */
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

    /**
     * Requests a permit to send one request to a cold replica. Only issuers receive it, so that
     * peers of earlier versions, which close the connection on an unknown message, never do.
     *
     * @param replica identifier of the replica
     */
    record PermitRequest(long number, String replica) implements PieceMessage {}

    /** Reply to a request for a permit. */
    record PermitAnswer(long number, PermitReply reply) implements PieceMessage {}

    /** Message of a later version, which is ignored. */
    record Unknown(String type) implements PieceMessage {}

    /** Checks whether the peer is alive. */
    record Ping() implements PieceMessage {}

    /** Acknowledges a {@link Ping}. */
    record Pong() implements PieceMessage {}
}
