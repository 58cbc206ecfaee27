package org.sequoiaspindle.core.coordination.forwarding.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against a body that is completed by the bytes of another response. */
final class EmbeddedHeadSearchTest {

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nServer: s\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\n";

    @Property(seed = "38", tries = 500)
    void headThatNamesARequestIsFoundHoweverTheBytesAreSplit(
            @ForAll @Size(max = 8) List<@IntRange(max = 200) Integer> cuts,
            @ForAll @IntRange(max = 12) int prefixLength) {
        String body = "HTTP/1.HTTP/".substring(0, prefixLength) + HEAD + "rest";
        assertTrue(search(body, cuts).found());
        assertFalse(search(body.replace("one", "two"), cuts).found());
    }

    @Test
    void textThatOnlyResemblesAHeadIsNotFound() {
        for (String body :
                List.of(
                        "HTTP/1.1 is a protocol, and Request-Id: one is a field\r\n",
                        "HTTP/1.1 200 OK\r\n\r\nRequest-Id: one\r\n",
                        "GET / HTTP/1.1\r\nRequest-Id: one\r\n\r\n")) {
            assertFalse(search(body, List.of()).found(), body);
        }
    }

    @Test
    void headThatBeginsAtTheEndOfTheBodyIsContinuedByTheNextBytes() {
        for (int length = 1; length < HEAD.length(); length++) {
            EmbeddedHeadSearch end = search("body" + HEAD.substring(0, length), List.of());
            assertTrue(end.found() || end.isContinuedBy(HEAD.substring(length)), "after " + length);
            assertFalse(end.isContinuedBy(""));
        }
        assertFalse(search("body H", List.of()).isContinuedBy("HTTP/1.1 200 OK"));
        assertEquals(EmbeddedHeadSearch.START, search("body", List.of()));
    }

    private static EmbeddedHeadSearch search(String body, List<Integer> cuts) {
        EmbeddedHeadSearch search = EmbeddedHeadSearch.START;
        int from = 0;
        for (int cut : cuts.stream().sorted().toList()) {
            int to = Math.max(from, Math.min(cut, body.length()));
            search = search.after(body.substring(from, to), "one"::equals);
            from = to;
        }
        return search.after(body.substring(from), "one"::equals);
    }
}
