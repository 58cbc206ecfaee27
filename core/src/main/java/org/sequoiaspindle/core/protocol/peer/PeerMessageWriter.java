package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Either;
import java.util.Map;

/** Writes messages as frame contents. */
public final class PeerMessageWriter {

    /** Largest frame content in bytes. */
    public static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    static final String TYPE = "t";

    private PeerMessageWriter() {}

    /** Content of the frame, or why the message cannot be sent. */
    public static Either<String, byte[]> write(PeerMessage message) {
        PeerMessageCodecs.Codec<?> codec = PeerMessageCodecs.BY_CLASS.get(message.getClass()).get();
        Map<String, Object> fields = Fields.of(TYPE, codec.type());
        fields.putAll(codec.write(message));
        byte[] frame = MessagePackTree.write(fields);
        return frame.length <= MAX_FRAME_BYTES
                ? Either.right(frame)
                : Either.left("message of " + frame.length + " bytes exceeds the frame limit");
    }
}
