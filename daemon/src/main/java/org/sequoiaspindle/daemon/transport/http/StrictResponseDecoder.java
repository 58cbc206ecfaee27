package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Response decoder that rejects responses with both a length and chunked encoding, which the
 * standard decoder reads as if the length was missing.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    private boolean decodedPart;

    StrictResponseDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
        super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
    }

    /** Returns whether bytes were received after the last complete response. */
    boolean isWithinResponse() {
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
                "response has both a content length and chunked encoding");
    }
}
