package org.sequoiaspindle.daemon.protocol.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Incremental decoder of server-sent events, as defined by the HTML standard. Ids, retry times and
 * comments are ignored. Buffers at most one incomplete event. Confined to one thread.
 */
public final class EventStreamDecoder {

    /** Largest total size of the lines of one event, in bytes. */
    public static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String DEFAULT_EVENT_NAME = "message";
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private final StringBuilder data = new StringBuilder();
    private String eventName = "";
    private boolean hasData;
    private boolean previousByteWasCarriageReturn;
    private boolean isFirstLine = true;
    private int eventBytes;

    /**
     * A complete event.
     *
     * @param name type of the event, {@code message} if the stream does not specify one
     * @param data data lines of the event, joined by line feeds
     */
    public record Event(String name, String data) {}

    /**
     * Decodes the next bytes.
     *
     * @return the events that the bytes complete, or the reason why the stream is invalid; after an
     *     invalid stream the decoder must not be used again
     */
    public Either<String, Vector<Event>> decode(byte[] bytes) {
        Vector<Event> events = Vector.empty();
        for (byte next : bytes) {
            if (next == '\n' && previousByteWasCarriageReturn) {
                previousByteWasCarriageReturn = false;
                continue;
            }
            previousByteWasCarriageReturn = next == '\r';
            if (next != '\n' && next != '\r') {
                line.write(next);
                eventBytes++;
                if (eventBytes > MAX_EVENT_BYTES) {
                    return Either.left("event larger than " + MAX_EVENT_BYTES + " bytes");
                }
                continue;
            }
            events = processLine(events);
        }
        return Either.right(events);
    }

    private Vector<Event> processLine(Vector<Event> completedEvents) {
        String text = finishLine();
        if (!text.isEmpty()) {
            readField(text);
            return completedEvents;
        }
        Vector<Event> extendedEvents =
                hasData
                        ? completedEvents.append(
                                new Event(
                                        eventName.isEmpty() ? DEFAULT_EVENT_NAME : eventName,
                                        data.toString()))
                        : completedEvents;
        data.setLength(0);
        eventName = "";
        hasData = false;
        eventBytes = 0;
        return extendedEvents;
    }

    private String finishLine() {
        byte[] bytes = line.toByteArray();
        line.reset();
        int start = isFirstLine && startsWithByteOrderMark(bytes) ? BYTE_ORDER_MARK.length : 0;
        isFirstLine = false;
        return new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8);
    }

    private static boolean startsWithByteOrderMark(byte[] bytes) {
        return bytes.length >= BYTE_ORDER_MARK.length
                && bytes[0] == BYTE_ORDER_MARK[0]
                && bytes[1] == BYTE_ORDER_MARK[1]
                && bytes[2] == BYTE_ORDER_MARK[2];
    }

    private void readField(String text) {
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        if (field.equals("event")) {
            eventName = value;
        } else if (field.equals("data")) {
            if (hasData) {
                data.append('\n');
            }
            data.append(value);
            hasData = true;
        }
    }
}
