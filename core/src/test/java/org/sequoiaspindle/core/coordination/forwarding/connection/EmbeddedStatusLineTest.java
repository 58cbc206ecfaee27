package org.sequoiaspindle.core.coordination.forwarding.connection;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads of two responses that pass for one, and against rejecting sound heads. */
final class EmbeddedStatusLineTest {

    /** The decoder accepts each of these as the beginning of a response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "OHTTP/1.1 500 Error",
                "OHTTP/1.1 500",
                "OHTTP/1.0 500 Error",
                "OHTTP/1.1  500 Error",
                "OHTTP/1.1\t500\tError"
            })
    void statusLineBehindACutValueIsFound(String value) {
        assertTrue(EmbeddedHeadSearch.containsStatusLine(value));
    }

    /** The protocol name and an address as the recipient are valid in a Via field. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 192.168.0.7:8080", "HTTP/1.1 127.0.0.1", "HTTP/1.1 proxy"})
    void viaFieldIsNotTakenForAStatusLine(String value) {
        assertFalse(EmbeddedHeadSearch.containsStatusLine(value));
    }
}
