package org.sequoiaspindle.daemon.protocol.caller;

import java.nio.charset.StandardCharsets;

/** Writes server-sent events whose data is JSON on one line. */
public final class EventStreamWriter {

    private static final byte[] END = {'\n', '\n'};

    private EventStreamWriter() {}

    /** Bytes of one event. */
    public static byte[] event(String name, byte[] json) {
        byte[] head = ("event: " + name + "\ndata: ").getBytes(StandardCharsets.UTF_8);
        byte[] event = new byte[head.length + json.length + END.length];
        System.arraycopy(head, 0, event, 0, head.length);
        System.arraycopy(json, 0, event, head.length, json.length);
        System.arraycopy(END, 0, event, head.length + json.length, END.length);
        return event;
    }
}
