package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sequoiaspindle.daemon.transport.http.ConnectionFixture.Recorder;

/**
 * Guards against requests that wait until their deadline because a late copy, which is cut off and
 * discarded, takes their response as its rest.
 */
final class DiscardedCopyTest {

    private static final String LENGTH_COPY =
            ConnectionFixture.response("200 OK", "first", "0123456789".repeat(40));
    private static final String CHUNKED_COPY =
            "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "C8\r\n"
                    + "0123456789".repeat(20)
                    + "\r\n0\r\nField: value\r\n\r\n";
    private static final String FAILURE =
            ConnectionFixture.response("500 Error", "second", "failed");

    @TestFactory
    Stream<DynamicTest> responseBehindACutCopyWithALengthIsNotAwaitedFurther() {
        return cutsOf(LENGTH_COPY);
    }

    @TestFactory
    Stream<DynamicTest> responseBehindACutCopyInChunksIsNotAwaitedFurther() {
        return cutsOf(CHUNKED_COPY);
    }

    private static Stream<DynamicTest> cutsOf(String copy) {
        return IntStream.range(1, copy.length())
                .filter(length -> !endsWithinChunkLine(copy.substring(0, length)))
                .mapToObj(
                        length ->
                                DynamicTest.dynamicTest(
                                        "after " + length + " bytes",
                                        () -> responseFollows(copy.substring(0, length))));
    }

    /** CutChunkLineTest has these cuts. */
    private static boolean endsWithinChunkLine(String cutCopy) {
        return cutCopy.endsWith("C8\r") || cutCopy.endsWith("\n0\r");
    }

    private static void responseFollows(String cutCopy) {
        ConnectionFixture fixture = new ConnectionFixture();
        fixture.send("first");
        fixture.receive(LENGTH_COPY);
        Recorder second = fixture.send("second");
        fixture.receive(cutCopy);
        fixture.receive(FAILURE);
        assertTrue(second.failed(), second::toString);
        assertFalse(second.ended(), second::toString);
        assertFalse(fixture.isReusable());
    }
}
