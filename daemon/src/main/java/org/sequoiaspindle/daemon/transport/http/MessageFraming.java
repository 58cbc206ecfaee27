package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import java.util.Arrays;
import java.util.List;

/**
 * Determines whether all recipients find the end of a message at the same place (RFC 9112, section
 * 6). Otherwise bytes of the body could be read as another message.
 */
public final class MessageFraming {

    /** How the end of a message is found. */
    public enum Result {
        /** By a length, by chunks, or by the end of the head or of the connection. */
        CLEAR,
        /** Recipients may disagree. */
        AMBIGUOUS,
        /** By chunks, but the content has transfer codings that are not supported. */
        UNSUPPORTED_CODING
    }

    private MessageFraming() {}

    /** Examines the head of a message. */
    public static Result of(HttpMessage message) {
        List<String> lengths = message.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codingFields = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codingFields.isEmpty()) {
            return lengths.size() <= 1 ? Result.CLEAR : Result.AMBIGUOUS;
        }
        if (!lengths.isEmpty() || !message.protocolVersion().isKeepAliveDefault()) {
            return Result.AMBIGUOUS;
        }
        return ofCodings(
                codingFields.stream()
                        .flatMap(field -> Arrays.stream(field.split(",", -1)))
                        .toList());
    }

    private static Result ofCodings(List<String> codings) {
        int last = codings.size() - 1;
        boolean isChunkedOnceAndLast = true;
        for (int i = 0; i <= last; i++) {
            boolean isChunked = isChunked(codings.get(i));
            isChunkedOnceAndLast &= isChunked == (i == last);
        }
        if (!isChunkedOnceAndLast || codings.stream().anyMatch(MessageFraming::isEmpty)) {
            return Result.AMBIGUOUS;
        }
        return last == 0 ? Result.CLEAR : Result.UNSUPPORTED_CODING;
    }

    private static boolean isChunked(String coding) {
        return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(withoutWhitespace(coding));
    }

    private static boolean isEmpty(String coding) {
        return withoutWhitespace(coding).isEmpty();
    }

    /** Removes spaces and tabs at both ends, and no other control characters. */
    private static String withoutWhitespace(String coding) {
        int start = 0;
        int end = coding.length();
        while (start < end && isWhitespace(coding.charAt(start))) {
            start++;
        }
        while (end > start && isWhitespace(coding.charAt(end - 1))) {
            end--;
        }
        return coding.substring(start, end);
    }

    private static boolean isWhitespace(char character) {
        return character == ' ' || character == '\t';
    }
}
