package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Validates request heads. */
final class RequestHeadValidator {

    static final int BAD_REQUEST = 400;

    private static final int HEADER_TOO_LARGE = 431;

    private RequestHeadValidator() {}

    /**
     * Returns whether servers could disagree on the length or the host of the request, which would
     * permit request smuggling. Such a request has several lengths, a length together with chunked
     * encoding, or not exactly one host.
     */
    static boolean hasAmbiguousFraming(HttpHeaders fields) {
        int lengths = fields.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        boolean chunked = fields.contains(HttpHeaderNames.TRANSFER_ENCODING);
        return lengths > 1
                || (lengths > 0 && chunked)
                || fields.getAll(HttpHeaderNames.HOST).size() != 1;
    }

    /** Returns the response status for a head that the decoder rejected. */
    static int statusForDecoderFailure(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException
                ? HEADER_TOO_LARGE
                : BAD_REQUEST;
    }
}
