package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.daemon.transport.http.ConnectionFixture.Recorder;

/** Guards against responses whose end is found at the wrong place. */
final class ResponseBoundaryTest {

    private static final String FIRST = ConnectionFixture.response("200 OK", "first", "first body");

    private final ConnectionFixture fixture = new ConnectionFixture();

    /** The length is that of the body of a GET request; waiting for it lasts until the deadline. */
    @Test
    void responseToAHeadRequestEndsWithItsHead() {
        Recorder head = fixture.send(HttpMethod.HEAD, "first", false);
        fixture.receive("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 10\r\n\r\n");
        assertTrue(head.ended(), head::toString);
        assertEquals("", head.body());
    }

    /** A copy of the response would take its announced body from the response after it. */
    @Test
    void connectionIsNotUsedAgainAfterAHeadRequest() {
        fixture.send(HttpMethod.HEAD, "first", false);
        fixture.receive("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n");
        assertFalse(fixture.isReusable());
    }

    /** The replica breaks off without closing the connection, and then answers once more. */
    @Test
    void bodyThatIsCompletedByTheNextResponseIsNotTakenForComplete() {
        String body = "0123456789".repeat(20);
        String response = ConnectionFixture.response("200 OK", "first", body);
        for (int missing = 1; missing <= body.length(); missing++) {
            ConnectionFixture cutFixture = new ConnectionFixture();
            Recorder recorder = cutFixture.send("first");
            cutFixture.receive(response.substring(0, response.length() - missing));
            cutFixture.receive(response);
            assertFalse(recorder.ended(), missing + " bytes missing: " + recorder);
            assertTrue(recorder.failed(), missing + " bytes missing");
        }
    }

    @Test
    void bytesAfterACompleteResponseDoNotFailItsRequest() {
        for (String more : new String[] {FIRST, "H", "HTTP/1.1 200", "\r\n"}) {
            ConnectionFixture followedFixture = new ConnectionFixture();
            Recorder recorder = followedFixture.send("first");
            followedFixture.receive(FIRST + more);
            assertTrue(recorder.ended(), recorder::toString);
        }
    }

    /** All later bytes are its body, so the response to the request cannot arrive any more. */
    @Test
    void requestBehindACopyThatOnlyEndsWithTheConnectionFailsAtOnce() {
        fixture.send("first");
        fixture.receive(FIRST);
        Recorder second = fixture.send("second");
        fixture.receive("HTTP/1.1 200 OK\r\nRequest-Id: first\r\n\r\nfirst body");
        assertTrue(second.failed(), second::toString);
    }

    /** The decoder does not decode what follows, so nothing would limit or end it. */
    @Test
    void requestIsNotAnsweredByASwitchOfProtocols() {
        Recorder recorder = fixture.send("first");
        fixture.receive("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
        fixture.receive(FIRST);
        assertTrue(recorder.failed(), recorder::toString);
        assertFalse(fixture.isReusable());
    }
}
