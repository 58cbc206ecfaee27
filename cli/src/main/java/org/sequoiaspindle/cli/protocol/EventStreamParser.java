package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental parser of server-sent events. Feeding a chunk of any size returns a new parser and
 * the events whose last line the chunk contains.
 */
final class EventStreamParser {

    /** The outcome event carries the whole answer; no instance sends a line longer than this. */
    private static final int MAX_LINE_BYTES = 8 * 1024 * 1024;

    private final byte[] partialLine;
    private final String eventName;
    private final Vector<String> data;

    private EventStreamParser(byte[] partialLine, String eventName, Vector<String> data) {
        this.partialLine = partialLine;
        this.eventName = eventName;
        this.data = data;
    }

    /** A complete event. */
    record Event(String name, String data) {}

    /** Parser after a chunk, and the events whose last line the chunk contains. */
    record FeedResult(EventStreamParser parser, Vector<Event> events) {}

    static EventStreamParser start() {
        return new EventStreamParser(new byte[0], "", Vector.empty());
    }

    FeedResult feed(byte[] chunk) {
        byte[] bytes = Arrays.copyOf(partialLine, partialLine.length + chunk.length);
        System.arraycopy(chunk, 0, bytes, partialLine.length, chunk.length);
        FeedResult result = new FeedResult(withPartialLine(new byte[0]), Vector.empty());
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                result =
                        result.parser()
                                .processLine(decodeLine(bytes, lineStart, i), result.events());
                lineStart = i + 1;
            }
        }
        byte[] remainder = Arrays.copyOfRange(bytes, lineStart, bytes.length);
        // Discards the start of an overlong line. The event is then missing or malformed, which
        // AnswerStreamValidation reports as a violation.
        byte[] boundedRemainder = remainder.length <= MAX_LINE_BYTES ? remainder : new byte[0];
        return new FeedResult(result.parser().withPartialLine(boundedRemainder), result.events());
    }

    private static String decodeLine(byte[] bytes, int from, int to) {
        int end = to > from && bytes[to - 1] == '\r' ? to - 1 : to;
        return new String(bytes, from, end - from, StandardCharsets.UTF_8);
    }

    private EventStreamParser withPartialLine(byte[] bytes) {
        return new EventStreamParser(bytes, eventName, data);
    }

    private FeedResult processLine(String line, Vector<Event> events) {
        if (line.isEmpty()) {
            Vector<Event> allEvents =
                    data.isEmpty()
                            ? events
                            : events.append(new Event(eventName, data.mkString("\n")));
            return new FeedResult(start(), allEvents);
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        String content = value.startsWith(" ") ? value.substring(1) : value;
        return new FeedResult(
                switch (field) {
                    case "event" -> new EventStreamParser(partialLine, content, data);
                    case "data" ->
                            new EventStreamParser(partialLine, eventName, data.append(content));
                    default -> this;
                },
                events);
    }
}
