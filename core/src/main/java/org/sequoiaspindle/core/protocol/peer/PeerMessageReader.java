package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Either;
import io.vavr.control.Option;

/** Decodes frame contents. Never throws. */
public final class PeerMessageReader {

    private PeerMessageReader() {}

    /**
     * Decodes a message. The result is empty for an unknown type, which a later version may send,
     * or the reason why the frame is malformed.
     */
    public static Either<String, Option<PeerMessage>> read(byte[] frame) {
        if (frame.length > PeerMessageWriter.MAX_FRAME_BYTES) {
            return Either.left("frame of " + frame.length + " bytes exceeds the limit");
        }
        return MessagePackTree.read(frame).flatMap(PeerMessageReader::decodeMessage);
    }

    private static Either<String, Option<PeerMessage>> decodeMessage(Object tree) {
        try {
            MessageFields fields = MessageFields.fromMap(tree);
            long type = fields.number(PeerMessageWriter.TYPE);
            Option<PeerMessageCodecs.Codec<?>> codec = PeerMessageCodecs.BY_TYPE.get(type);
            return Either.right(
                    codec.isEmpty()
                            ? Option.none()
                            : Option.of(codec.get().reader().parse(fields)));
        } catch (MalformedMessageException e) {
            return Either.left(e.getMessage());
        }
    }
}
