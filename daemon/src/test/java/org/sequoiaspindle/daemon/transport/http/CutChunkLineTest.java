package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiaspindle.daemon.transport.http.ConnectionFixture.Recorder;

/** Guards against status lines that pass for the rest of a line with the size of a chunk. */
final class CutChunkLineTest {

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ConnectionFixture fixture = new ConnectionFixture();

    /** The response would be taken for the rest of the copy, and awaited until the deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"C8\r", "C8;a", "C8\r\n#\r\n0\r", "C8\r\n#\r\n0;a"})
    void requestBehindACopyThatIsCutInAChunkLineFailsAtOnce(String chunks) {
        fixture.send("first");
        fixture.receive(ConnectionFixture.response("200 OK", "first", "done"));
        Recorder second = fixture.send("second");
        fixture.receive(HEAD + chunks.replace("#", "x".repeat(200)));
        fixture.receive(ConnectionFixture.response("500 Error", "second", "failed"));
        assertTrue(second.failed(), second::toString);
    }

    @ParameterizedTest
    @ValueSource(strings = {"4\r", "4;a"})
    void fieldsOfACopyAreNotTakenForABodyThatIsCutInAChunkLine(String chunkLine) {
        Recorder recorder = fixture.send("first");
        fixture.receive(HEAD + "2\r\nab\r\n" + chunkLine);
        fixture.receive(HEAD + "2\r\nab\r\n0\r\n\r\n");
        assertTrue(recorder.failed(), recorder::toString);
        assertEquals("ab", recorder.body());
    }
}
