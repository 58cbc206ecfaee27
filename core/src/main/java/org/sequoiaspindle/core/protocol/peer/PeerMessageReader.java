package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Either;
import io.vavr.control.Option;

/** Reads frame contents. No input makes it throw. */
public final class PeerMessageReader {

    private PeerMessageReader() {}

    /** The message, nothing for a type that a later version sends, or why it is malformed. */
    public static Either<String, Option<PeerMessage>> read(byte[] frame) {
        if (frame.length > PeerMessageWriter.MAX_FRAME_BYTES) {
            return Either.left("frame of " + frame.length + " bytes exceeds the limit");
        }
        return MessagePackTree.read(frame).flatMap(PeerMessageReader::message);
    }

    private static Either<String, Option<PeerMessage>> message(Object tree) {
        try {
            Fields fields = Fields.read(tree);
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
