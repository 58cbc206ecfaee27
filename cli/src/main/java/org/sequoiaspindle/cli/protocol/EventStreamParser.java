package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parser of server-sent events that is fed with chunks of any size. Each chunk gives a new parser
 * and the events that it completed.
 */
final class EventStreamParser {

    /** The outcome event carries the whole answer; a line beyond this is not from an instance. */
    private static final int MAX_LINE_BYTES = 8 * 1024 * 1024;

    private final byte[] pending;
    private final String event;
    private final Vector<String> data;

    private EventStreamParser(byte[] pending, String event, Vector<String> data) {
        this.pending = pending;
        this.event = event;
        this.data = data;
    }

    /** A complete event. */
    record Event(String name, String data) {}

    /** Parser after a chunk, and the events that the chunk completed. */
    record Step(EventStreamParser parser, Vector<Event> events) {}

    static EventStreamParser start() {
        return new EventStreamParser(new byte[0], "", Vector.empty());
    }

    Step feed(byte[] chunk) {
        byte[] bytes = Arrays.copyOf(pending, pending.length + chunk.length);
        System.arraycopy(chunk, 0, bytes, pending.length, chunk.length);
        Step step = new Step(withPending(new byte[0]), Vector.empty());
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                step = step.parser().line(text(bytes, lineStart, i), step.events());
                lineStart = i + 1;
            }
        }
        byte[] rest = Arrays.copyOfRange(bytes, lineStart, bytes.length);
        // A line that is too long is cut, so that its event cannot be read and is reported.
        byte[] bounded = rest.length <= MAX_LINE_BYTES ? rest : new byte[0];
        return new Step(step.parser().withPending(bounded), step.events());
    }

    private static String text(byte[] bytes, int from, int to) {
        int end = to > from && bytes[to - 1] == '\r' ? to - 1 : to;
        return new String(bytes, from, end - from, StandardCharsets.UTF_8);
    }

    private EventStreamParser withPending(byte[] bytes) {
        return new EventStreamParser(bytes, event, data);
    }

    private Step line(String line, Vector<Event> events) {
        if (line.isEmpty()) {
            Vector<Event> completed =
                    data.isEmpty() ? events : events.append(new Event(event, data.mkString("\n")));
            return new Step(start(), completed);
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        String stripped = value.startsWith(" ") ? value.substring(1) : value;
        return new Step(
                switch (field) {
                    case "event" -> new EventStreamParser(pending, stripped, data);
                    case "data" -> new EventStreamParser(pending, event, data.append(stripped));
                    default -> this;
                },
                events);
    }
}
