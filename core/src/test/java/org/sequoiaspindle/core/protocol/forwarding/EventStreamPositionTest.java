package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against taking a stream that was cut inside an event for a complete one. */
final class EventStreamPositionTest {

    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    @Property(seed = "81")
    void streamIsInsideAnEventExceptBetweenTwoEvents(@ForAll @IntRange(min = 0, max = 32) int cut) {
        int length = Math.min(cut, EVENTS.length());
        boolean betweenEvents = length == 0 || EVENTS.startsWith("\n\n", length - 2);
        assertEquals(!betweenEvents, after(EVENTS.substring(0, length)).insideEvent());
    }

    @Test
    void carriageReturnAndLineFeedEndOneLine() {
        assertTrue(after("data: a\r\n").insideEvent());
        assertFalse(after("data: a\r\n\r\n").insideEvent());
        assertFalse(after("data: a\r\r").insideEvent());
    }

    private static EventStreamPosition after(String text) {
        EventStreamPosition position = EventStreamPosition.START;
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            position = position.after(next);
        }
        return position;
    }
}
