package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Request decoder that rejects requests with both a length and chunked encoding. The standard
 * decoder ignores the length, although a proxy in front of this server may have relied on it.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    private boolean decodedPart;

    /** Creates a decoder with limits in bytes. */
    public StrictRequestDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
        super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
    }

    /** Returns whether bytes of a request have been received, but not all of them. */
    public boolean isWithinRequest() {
        return decodedPart || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        if (in.readerIndex() > start) {
            decodedPart = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both a content length and chunked encoding");
    }
}
