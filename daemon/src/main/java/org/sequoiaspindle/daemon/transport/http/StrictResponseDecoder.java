package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Response decoder that rejects responses with both a length and chunked encoding, which the
 * standard decoder reads as if the length was missing.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    StrictResponseDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
        super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "response has both a content length and chunked encoding");
    }
}
