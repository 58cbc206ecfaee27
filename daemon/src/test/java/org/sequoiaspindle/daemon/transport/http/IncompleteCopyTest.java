package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.sequoiaspindle.daemon.transport.http.ConnectionFixture.Recorder;

/** Guards against a success that is made of a cut copy of a response and a later failure. */
final class IncompleteCopyTest {

    private static final String COPY =
            "HTTP/1.1 200 OK\r\nServer: s\r\nRequest-Id: first\r\nContent-Length: 4\r\n\r\ndone";

    private static final String FAILURE =
            ConnectionFixture.response("503 Service Unavailable", "second", "full");

    @TestFactory
    Stream<DynamicTest> cutCopyOnAnIdleConnectionEndsItsUse() {
        return IntStream.range(1, COPY.length())
                .mapToObj(
                        length ->
                                DynamicTest.dynamicTest(
                                        "after " + length + " bytes",
                                        () -> cutCopyArrivesWhileIdle(length)));
    }

    private static void cutCopyArrivesWhileIdle(int length) {
        ConnectionFixture fixture = new ConnectionFixture();
        fixture.send("first");
        fixture.receive(COPY);
        assertTrue(fixture.isReusable());
        fixture.receive(COPY.substring(0, length));
        assertFalse(fixture.isReusable());
        assertEquals(1, fixture.unrequestedCount());
    }

    @TestFactory
    Stream<DynamicTest> cutCopyInTheReadThatEndsAResponseEndsTheUse() {
        return IntStream.range(1, COPY.length())
                .mapToObj(
                        length ->
                                DynamicTest.dynamicTest(
                                        "after " + length + " bytes",
                                        () -> {
                                            ConnectionFixture fixture = new ConnectionFixture();
                                            Recorder first = fixture.send("first");
                                            fixture.receive(COPY + COPY.substring(0, length));
                                            assertTrue(first.ended());
                                            assertFalse(first.freeAtEnd());
                                            assertFalse(fixture.isReusable());
                                        }));
    }

    @TestFactory
    Stream<DynamicTest> failureAfterACutCopyIsNotTakenForASuccess() {
        return IntStream.range(1, COPY.length())
                .mapToObj(
                        length ->
                                DynamicTest.dynamicTest(
                                        "after " + length + " bytes",
                                        () -> cutCopyArrivesBeforeTheFailure(length)));
    }

    private static void cutCopyArrivesBeforeTheFailure(int length) {
        ConnectionFixture fixture = new ConnectionFixture();
        fixture.send("first");
        fixture.receive(COPY);
        Recorder second = fixture.send("second");
        fixture.receive(COPY.substring(0, length));
        fixture.receive(FAILURE);
        assertFalse(second.ended() && second.status() != 503, second::toString);
        assertFalse(second.ended() && !second.body().equals("full"), second::toString);
    }

    @Test
    void controlCharactersOnAnIdleConnectionEndItsUse() {
        ConnectionFixture fixture = new ConnectionFixture();
        fixture.send("first");
        fixture.receive(COPY);
        fixture.receive("\r\n");
        assertFalse(fixture.isReusable());
    }
}
