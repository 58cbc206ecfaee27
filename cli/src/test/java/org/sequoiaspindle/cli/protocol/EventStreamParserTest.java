package org.sequoiaspindle.cli.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.Vector;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.cli.protocol.EventStreamParser.Event;

/** Guards against lost or corrupt events when the network splits the stream into chunks. */
final class EventStreamParserTest {

    private static final String STREAM =
            ": comment\nevent: token\ndata: {\"text\":\"caf\u00e9 \u6c34\"}\n\n"
                    + "event:outcome\r\ndata: one\r\ndata: two\r\n\r\nid: 5\n\n";

    private static final Vector<Event> EVENTS =
            Vector.of(
                    new Event("token", "{\"text\":\"caf\u00e9 \u6c34\"}"),
                    new Event("outcome", "one\ntwo"));

    @Property(seed = "20261204")
    void eventsDoNotDependOnHowTheStreamIsSplit(
            @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> splitPositions) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        Vector<Integer> ends =
                Vector.ofAll(splitPositions)
                        .map(position -> Math.min(position, bytes.length))
                        .append(bytes.length)
                        .sorted();
        EventStreamParser.FeedResult result =
                new EventStreamParser.FeedResult(EventStreamParser.start(), Vector.empty());
        int from = 0;
        for (int end : ends) {
            EventStreamParser.FeedResult next =
                    result.parser().feed(Arrays.copyOfRange(bytes, from, end));
            result =
                    new EventStreamParser.FeedResult(
                            next.parser(), result.events().appendAll(next.events()));
            from = end;
        }

        assertEquals(EVENTS, result.events());
    }

    @Test
    void eventWithoutAFinalBlankLineIsNotDelivered() {
        byte[] bytes = "event: outcome\ndata: {}\n".getBytes(StandardCharsets.UTF_8);

        assertEquals(Vector.empty(), EventStreamParser.start().feed(bytes).events());
    }
}
