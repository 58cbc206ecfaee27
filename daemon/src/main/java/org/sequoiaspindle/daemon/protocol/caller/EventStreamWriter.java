package org.sequoiaspindle.daemon.protocol.caller;

import java.nio.charset.StandardCharsets;

/** Encodes server-sent events whose data is one line of JSON. */
public final class EventStreamWriter {

    private static final byte[] EVENT_END = {'\n', '\n'};

    private EventStreamWriter() {}

    /** Encodes one event. */
    public static byte[] encodeEvent(String name, byte[] json) {
        byte[] head = ("event: " + name + "\ndata: ").getBytes(StandardCharsets.UTF_8);
        byte[] event = new byte[head.length + json.length + EVENT_END.length];
        System.arraycopy(head, 0, event, 0, head.length);
        System.arraycopy(json, 0, event, head.length, json.length);
        System.arraycopy(EVENT_END, 0, event, head.length + json.length, EVENT_END.length);
        return event;
    }
}
