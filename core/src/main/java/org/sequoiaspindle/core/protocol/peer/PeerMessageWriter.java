package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Either;
import java.util.Map;

/** Encodes messages as frame contents. */
public final class PeerMessageWriter {

    /** Maximum size of the content of a frame in bytes. */
    public static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    static final String TYPE = "t";

    private PeerMessageWriter() {}

    /** Encodes a message, or returns the reason why the message cannot be sent. */
    public static Either<String, byte[]> write(PeerMessage message) {
        PeerMessageCodecs.Codec<?> codec = PeerMessageCodecs.BY_CLASS.get(message.getClass()).get();
        Map<String, Object> fields = MessageFields.of(TYPE, codec.type());
        fields.putAll(codec.write(message));
        byte[] frame = MessagePackTree.write(fields);
        return frame.length <= MAX_FRAME_BYTES
                ? Either.right(frame)
                : Either.left("message of " + frame.length + " bytes exceeds the frame limit");
    }
}
