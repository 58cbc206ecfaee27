package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ByteProcessor;
import java.util.Iterator;
import java.util.Map;

/** Memory that received requests use, which for short fields is far more than their bytes. */
final class HeadCost {

    /**
     * Bytes that a header field uses besides its characters: an entry of 40 bytes and two strings
     * of 48 bytes each.
     */
    static final int FIELD_BYTES = 136;

    /** Bytes that a decoded message uses besides its content. */
    private static final int MESSAGE_BYTES = 256;

    private HeadCost() {}

    /**
     * Returns the memory of a part of a head that is being decoded.
     *
     * @param maxHeadBytes size beyond which the part cannot belong to one head
     */
    static long ofPart(ByteBuf bytes, int maxHeadBytes) {
        int length = Math.min(bytes.readableBytes(), maxHeadBytes);
        int[] lines = {0};
        bytes.forEachByte(
                bytes.readerIndex(),
                length,
                (ByteProcessor)
                        next -> {
                            lines[0] += next == '\n' ? 1 : 0;
                            return true;
                        });
        return length + (long) FIELD_BYTES * lines[0];
    }

    /** Returns the memory of a decoded message. */
    static long of(Object message) {
        long bytes = MESSAGE_BYTES;
        if (message instanceof HttpRequest request) {
            bytes += request.uri().length();
            Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                    request.headers().iteratorCharSequence();
            while (fields.hasNext()) {
                Map.Entry<CharSequence, CharSequence> field = fields.next();
                bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
            }
        }
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        return bytes;
    }
}
