package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sequoiaspindle.daemon.transport.http.ConnectionFixture.Recorder;

/**
 * Guards against responses that have the status of a cut copy and the fields of the next response,
 * for other orders of the fields, repeated fields, other line ends and both kinds of status.
 */
final class JoinedHeadsTest {

    private static final List<String> COPIES =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nRequest-Id: first\r\n\r\ndone",
                    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 9\r\n"
                            + "Request-Id: first\r\nContent-Length: 4\r\n\r\nbusy",
                    "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nFolded: a\r\n b\r\n\tc\r\n"
                            + "Content-Length: 4\r\n\r\ndone",
                    "HTTP/1.1 200 OK\nRequest-Id: first\nContent-Length: 4\n\ndone",
                    "HTTP/1.0 200\r\nRequest-Id: first\r\nContent-Length: 4\r\n\r\ndone");

    private static final List<String> RESPONSES =
            List.of(
                    "HTTP/1.1 500 Error: x\r\nRequest-Id: second\r\nContent-Length: 6\r\n\r\n"
                            + "second",
                    "HTTP/1.1 500\r\nContent-Length: 6\r\nServer: a\r\nRequest-Id: second\r\n\r\n"
                            + "second",
                    "HTTP/1.1 500 Error\r\nNot-Executed: 1\r\nRequest-Id: second\r\n"
                            + "Not-Executed: 1\r\nContent-Length: 6\r\n\r\n"
                            + "second",
                    "HTTP/1.1  500  Error\r\nRequest-Id: second\r\nTransfer-Encoding: chunked\r\n"
                            + "\r\n6\r\nsecond\r\n0\r\n\r\n",
                    "HTTP/1.1\t500\tError\r\nRequest-Id: second\r\nContent-Length: 6\r\n\r\n"
                            + "second");

    @TestFactory
    Stream<DynamicTest> responseBehindACutCopyIsReadAsItIsOrFails() {
        return COPIES.stream()
                .flatMap(
                        copy ->
                                IntStream.rangeClosed(0, copy.length())
                                        .mapToObj(length -> copy.substring(0, length)))
                .flatMap(
                        cutCopy ->
                                RESPONSES.stream()
                                        .map(
                                                response ->
                                                        DynamicTest.dynamicTest(
                                                                cutCopy + '|' + response,
                                                                () -> read(cutCopy, response))));
    }

    private static void read(String cutCopy, String response) {
        ConnectionFixture fixture = new ConnectionFixture();
        fixture.send("first");
        fixture.receive(ConnectionFixture.response("200 OK", "first", "done"));
        Recorder second = fixture.send("second");
        fixture.receive(cutCopy);
        fixture.receive(response);
        assertTrue(second.failed() || second.ended(), second::toString);
        if (second.ended()) {
            assertEquals(500, second.status(), second::toString);
            assertEquals("second", second.body());
        }
    }
}
