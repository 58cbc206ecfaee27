package org.sequoiaspindle.daemon.protocol.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.request.CallerRequest;

/**
 * Guards against a reader that throws an exception on malformed input, or that accepts requests
 * with missing fields.
 */
final class CallerRequestReaderTest {

    private static final byte[] BODY =
            "{\"input\":\"a\",\"maxTokens\":1}".getBytes(StandardCharsets.UTF_8);

    @Property(seed = "4716", tries = 1000)
    void anyHeaderOrBodyIsReadOrRejected(@ForAll String header, @ForAll byte[] body) {
        read(Option.of("Bearer " + header), Option.of(header), body);
        read(Option.of(header), Option.of(header), BODY);
        Either<HttpRejection, CallerRequest> read =
                read(Option.of("Bearer a:b"), Option.none(), body);
        assertTrue(read.isLeft() || read.get().maxTokens() >= 1);
    }

    @Test
    void onlyAValidTraceContextReachesTheRequest() {
        String valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        assertEquals(valid, traceParentOf(valid));
        assertEquals("", traceParentOf(valid.toUpperCase()));
        assertEquals(
                "",
                traceParentOf(valid.replace("0af7651916cd43dd8448eb211c80319c", "0".repeat(32))));
        assertEquals("", traceParentOf("\r\nX-Injected: 1"));
    }

    @Test
    void requestsPrintNeitherSecretNorInput() {
        assertFalse(
                read(Option.of("Bearer a:hidden"), Option.none(), BODY)
                        .toString()
                        .contains("hidden"));
    }

    private static String traceParentOf(String header) {
        return CallerRequestReader.read(
                        "p",
                        name ->
                                name.equals("traceparent")
                                        ? Option.of(header)
                                        : Option.when(name.equals("Authorization"), "Bearer a:b"),
                        BODY)
                .get()
                .traceParent();
    }

    private static Either<HttpRejection, CallerRequest> read(
            Option<String> authorization, Option<String> otherHeaders, byte[] body) {
        return CallerRequestReader.read(
                "p", name -> name.equals("Authorization") ? authorization : otherHeaders, body);
    }
}
