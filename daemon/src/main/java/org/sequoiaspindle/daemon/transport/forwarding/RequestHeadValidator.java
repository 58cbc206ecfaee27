package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;

/** Validates request heads. */
final class RequestHeadValidator {

    static final int BAD_REQUEST = 400;

    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEADER_TOO_LARGE = 431;

    /**
     * Why a request is rejected.
     *
     * @param explanation text for the client, which names the limit that is exceeded
     */
    record Rejection(int status, String explanation) {}

    private RequestHeadValidator() {}

    /** Returns why a head is rejected, or empty if its request may be received. */
    static Optional<Rejection> validate(HttpRequest request, IngressLimits limits) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(undecodable(request.decoderResult().cause(), limits));
        }
        if (hasAmbiguousFraming(request.headers())) {
            return Optional.of(
                    new Rejection(
                            BAD_REQUEST, "the length or the host of the request is ambiguous"));
        }
        return HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()
                ? Optional.of(longBody(limits))
                : Optional.empty();
    }

    static Rejection longBody(IngressLimits limits) {
        return new Rejection(
                CONTENT_TOO_LARGE,
                "the request body is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private static Rejection undecodable(Throwable cause, IngressLimits limits) {
        boolean isTooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        return isTooLong
                ? new Rejection(
                        HEADER_TOO_LARGE,
                        "the request head is longer than " + limits.maxHeaderBytes() + " bytes")
                : new Rejection(BAD_REQUEST, "the request head is malformed");
    }

    /**
     * Returns whether servers could disagree on the length or the host of the request, which would
     * permit request smuggling. Such a request has several lengths, a length together with chunked
     * encoding, or not exactly one host.
     */
    private static boolean hasAmbiguousFraming(HttpHeaders fields) {
        int lengths = fields.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        boolean chunked = fields.contains(HttpHeaderNames.TRANSFER_ENCODING);
        return lengths > 1
                || (lengths > 0 && chunked)
                || fields.getAll(HttpHeaderNames.HOST).size() != 1;
    }
}
