package org.sequoiaspindle.core.coordination.forwarding.connection;

import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Searches a response body for the head of another response. A server that cuts a response off and
 * then sends one more on the same connection completes the body of the first one with the bytes of
 * the second one. Immutable.
 *
 * @param pending end of the body, from where a head may begin
 * @param found whether the body contains a head that names a request of the connection
 */
public record EmbeddedHeadSearch(String pending, boolean found) {

    /** The search before the first byte of a body. */
    public static final EmbeddedHeadSearch START = new EmbeddedHeadSearch("", false);

    /** Beginning of each status line. */
    public static final String PROTOCOL = "HTTP/1.";

    /** Length of a head beyond which the bytes are not taken for one. */
    private static final int MAX_HEAD_CHARACTERS = 4_096;

    private static final int STATUS_LINE_CHARACTERS = "HTTP/1.1 200".length();
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]\\s+\\d{3}(?!\\S)");
    private static final Pattern FIELD = Pattern.compile("\r\n[^:\\s]++:([^\r\n]*+)\r\n");
    private static final String END_OF_HEAD = "\r\n\r\n";

    /** Returns whether a text contains the beginning of a status line. */
    public static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    /**
     * Returns the search after the next bytes of the body.
     *
     * @param bytes the bytes as characters
     * @param isCarriedId whether the connection has carried a request with an identifier
     */
    public EmbeddedHeadSearch after(String bytes, Predicate<String> isCarriedId) {
        String text = pending + bytes;
        int start = text.indexOf(PROTOCOL);
        while (start >= 0) {
            int length = text.length() - start;
            if (length < STATUS_LINE_CHARACTERS) {
                return new EmbeddedHeadSearch(text.substring(start), found);
            }
            int next = start + 1;
            if (STATUS_LINE.matcher(text).region(start, text.length()).lookingAt()) {
                int end = text.indexOf(END_OF_HEAD, start);
                String head = end < 0 ? text.substring(start) : text.substring(start, end + 2);
                if (namesCarriedId(head, isCarriedId)) {
                    return new EmbeddedHeadSearch("", true);
                }
                if (end < 0 && length <= MAX_HEAD_CHARACTERS) {
                    return new EmbeddedHeadSearch(text.substring(start), found);
                }
                // A head that begins inside this one has no further fields.
                next = end < 0 ? text.length() - MAX_HEAD_CHARACTERS : end;
            }
            start = text.indexOf(PROTOCOL, next);
        }
        return new EmbeddedHeadSearch(beginningOfProtocol(text), found);
    }

    /**
     * Returns whether the body ends inside a head that the following bytes continue.
     *
     * @param following bytes after the body as characters
     */
    public boolean isContinuedBy(String following) {
        return !pending.isEmpty()
                && !following.isEmpty()
                && STATUS_LINE.matcher(pending + following).lookingAt();
    }

    private static boolean namesCarriedId(String head, Predicate<String> isCarriedId) {
        Matcher field = FIELD.matcher(head);
        int from = 0;
        while (field.find(from)) {
            if (isCarriedId.test(field.group(1).strip())) {
                return true;
            }
            // The end of a line is also the beginning of the next one.
            from = field.end() - 2;
        }
        return false;
    }

    /** Returns the end of a text with which a status line may begin. */
    private static String beginningOfProtocol(String text) {
        for (int length = Math.min(PROTOCOL.length() - 1, text.length()); length > 0; length--) {
            if (PROTOCOL.startsWith(text.substring(text.length() - length))) {
                return text.substring(text.length() - length);
            }
        }
        return "";
    }
}
