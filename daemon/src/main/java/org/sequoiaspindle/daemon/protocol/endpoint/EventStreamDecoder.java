package org.sequoiaspindle.daemon.protocol.endpoint;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Decodes a stream of server-sent events piece by piece, as the HTML standard defines them. Ids,
 * retry times and comments are skipped. Holds one unfinished event; confined to one thread.
 */
public final class EventStreamDecoder {

    /** Largest event, in bytes of its lines. */
    public static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String DEFAULT_NAME = "message";
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private final StringBuilder data = new StringBuilder();
    private String name = "";
    private boolean hasData;
    private boolean afterCarriageReturn;
    private boolean firstLine = true;
    private int eventBytes;

    /**
     * A complete event.
     *
     * @param name type of the event, {@code message} if the stream gave none
     * @param data its data lines, joined by line feeds
     */
    public record Event(String name, String data) {}

    /**
     * Takes the next bytes.
     *
     * @return events that they complete, or the reason why the stream is unusable; the decoder must
     *     not be used after that
     */
    public Either<String, Vector<Event>> accept(byte[] bytes) {
        Vector<Event> events = Vector.empty();
        for (byte next : bytes) {
            if (next == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
                continue;
            }
            afterCarriageReturn = next == '\r';
            if (next != '\n' && next != '\r') {
                line.write(next);
                eventBytes++;
                if (eventBytes > MAX_EVENT_BYTES) {
                    return Either.left("event larger than " + MAX_EVENT_BYTES + " bytes");
                }
                continue;
            }
            events = endLine(events);
        }
        return Either.right(events);
    }

    private Vector<Event> endLine(Vector<Event> before) {
        String text = takeLine();
        if (!text.isEmpty()) {
            readField(text);
            return before;
        }
        Vector<Event> after =
                hasData
                        ? before.append(
                                new Event(name.isEmpty() ? DEFAULT_NAME : name, data.toString()))
                        : before;
        data.setLength(0);
        name = "";
        hasData = false;
        eventBytes = 0;
        return after;
    }

    private String takeLine() {
        byte[] bytes = line.toByteArray();
        line.reset();
        int start = firstLine && startsWithMark(bytes) ? BYTE_ORDER_MARK.length : 0;
        firstLine = false;
        return new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8);
    }

    private static boolean startsWithMark(byte[] bytes) {
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
            name = value;
        } else if (field.equals("data")) {
            if (hasData) {
                data.append('\n');
            }
            data.append(value);
            hasData = true;
        }
    }
}
