package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;

/**
 * Guards against messages that change when encoded and decoded, and against exceptions for
 * malformed frames.
 */
final class PieceMessageCodecTest {

    @Test
    void decodedMessageEqualsTheEncodedMessage() {
        Piece piece =
                new Piece("r", 2, 1, "board", "", List.of("h1", "h2"), 8_000, "a", 900, -40, 1);
        List<PieceMessage> messages =
                List.of(
                        new PieceMessage.Request(7, piece),
                        new PieceMessage.Cancel(7),
                        new PieceMessage.Reply(7, new PieceResult.Completed("h")),
                        new PieceMessage.Reply(
                                8, new PieceResult.NotCompleted(PieceResult.Reason.NO_ROOM)),
                        new PieceMessage.Release(List.of("h1")),
                        new PieceMessage.PermitRequest(9, "e@1"),
                        new PieceMessage.PermitAnswer(9, new PermitReply(true, 91)),
                        new PieceMessage.Unknown("later"),
                        new PieceMessage.Ping(),
                        new PieceMessage.Pong());
        for (PieceMessage message : messages) {
            assertEquals(
                    message, PieceMessageCodec.decode(PieceMessageCodec.encode(message)).get());
        }
    }

    @Property(seed = "20261204")
    void decodingArbitraryBytesNeverThrows(@ForAll byte[] frame) {
        assertNotNull(PieceMessageCodec.decode(frame));
    }
}
