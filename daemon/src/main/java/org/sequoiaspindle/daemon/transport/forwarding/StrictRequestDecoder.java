package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Request decoder that rejects requests with both a length and chunked encoding. The standard
 * decoder ignores the length, although a proxy in front of this server may have relied on it.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
        super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both a content length and chunked encoding");
    }
}
