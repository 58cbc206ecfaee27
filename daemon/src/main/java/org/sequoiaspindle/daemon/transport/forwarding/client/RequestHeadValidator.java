package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.daemon.transport.http.MessageFraming;

/** Validates request heads. */
final class RequestHeadValidator {

    static final int BAD_REQUEST = 400;

    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEADER_TOO_LARGE = 431;
    private static final int NOT_IMPLEMENTED = 501;
    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

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
        Optional<Rejection> ambiguity = findAmbiguity(request);
        if (ambiguity.isPresent()) {
            return ambiguity;
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
     * Returns why servers could read the request in different ways, which would permit request
     * smuggling.
     */
    private static Optional<Rejection> findAmbiguity(HttpRequest request) {
        MessageFraming.Result framing = MessageFraming.of(request);
        if (framing == MessageFraming.Result.AMBIGUOUS) {
            return Optional.of(
                    new Rejection(BAD_REQUEST, "the length of the request is ambiguous"));
        }
        if (framing == MessageFraming.Result.UNSUPPORTED_CODING) {
            return Optional.of(
                    new Rejection(
                            NOT_IMPLEMENTED, "the only supported transfer coding is chunked"));
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            return Optional.of(
                    new Rejection(BAD_REQUEST, "the request does not have exactly one host"));
        }
        // Other bytes would not be the same when the target is written again.
        return isVisible(request.uri())
                ? Optional.empty()
                : Optional.of(
                        new Rejection(
                                BAD_REQUEST,
                                "the target contains bytes that are not percent-encoded"));
    }

    private static boolean isVisible(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < FIRST_VISIBLE || text.charAt(i) > LAST_VISIBLE) {
                return false;
            }
        }
        return true;
    }
}
