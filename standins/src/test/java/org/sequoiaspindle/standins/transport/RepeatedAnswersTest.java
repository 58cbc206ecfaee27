package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.Await;
import org.sequoiaspindle.standins.state.OptionValues;
import org.sequoiaspindle.standins.state.RepeatedAnswers;

/** Guards against tests of second answers that pass because no second answer is sent. */
final class RepeatedAnswersTest {

    private static final String REQUEST =
            "GET %s HTTP/1.1\r\nHost: a\r\nX-Sequoiaspindle-Attempt-Id: %s\r\n\r\n";

    private final ReplicaServer replica = ReplicaServer.start("r1", 1);

    @AfterEach
    void close() {
        replica.close();
    }

    @Test
    void secondAnswerFollowsOnTheSameConnectionAndNamesTheSameRequest() throws IOException {
        replica.setRepeatedAnswers(new RepeatedAnswers(1, 1, 5, 20, 0));
        String received = exchange("Attempt-Id: first", 2, "/lookup/permit", "first");
        assertEquals(2, received.split("HTTP/1.1 200 OK", -1).length - 1, received);
    }

    @Test
    void secondAnswerMayStateThatTheRequestWasNotExecuted() throws IOException {
        replica.setRepeatedAnswers(new RepeatedAnswers(1, 1, 5, 20, 503));
        String received = exchange("Not-Executed: 1", 1, "/lookup/permit", "first");
        assertTrue(received.indexOf("HTTP/1.1 200 OK") < received.indexOf("HTTP/1.1 503"));
    }

    @Test
    void secondAnswerToAStreamRepeatsAllOfItsEvents() throws IOException {
        replica.setRepeatedAnswers(new RepeatedAnswers(1, 1, 0, 0, 0));
        String received = exchange("piece 2 of first", 2, "/a/stream/b", "first");
        assertEquals(2, received.split("piece 0 of first", -1).length - 1, received);
    }

    @Test
    void requestsAreAnsweredOnceByDefault() throws IOException {
        String received =
                exchange("Attempt-Id: last", 1, "/lookup/a", "first", "/lookup/b", "last");
        assertEquals(2, received.split("HTTP/1.1 200 OK", -1).length - 1, received);
        assertFalse(RepeatedAnswers.none().delayMs(0, 0).isPresent());
    }

    @Test
    void optionsOutsideOfTheirRangeAreRejected() {
        for (Map<String, String> values :
                List.of(
                        Map.of("repeatShare", "1.5"),
                        Map.of("repeatMinMs", "300", "repeatMaxMs", "200"),
                        Map.of("repeatStatus", "99"))) {
            OptionValues options = new OptionValues(values);
            assertThrows(IllegalArgumentException.class, () -> RepeatedAnswers.from(options));
        }
    }

    /** Sends requests for pairs of path and identifier, and reads until the text has come. */
    private String exchange(String text, int times, String... pathsAndIds) throws IOException {
        String[] address = replica.address().split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setSoTimeout(Await.TIMEOUT_S * 1000);
            for (int index = 0; index < pathsAndIds.length; index += 2) {
                String request = REQUEST.formatted(pathsAndIds[index], pathsAndIds[index + 1]);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            }
            StringBuilder received = new StringBuilder();
            while (received.toString().split(text, -1).length - 1 < times) {
                int next = socket.getInputStream().read();
                assertTrue(next >= 0, received::toString);
                received.append((char) next);
            }
            return received.toString();
        }
    }
}
