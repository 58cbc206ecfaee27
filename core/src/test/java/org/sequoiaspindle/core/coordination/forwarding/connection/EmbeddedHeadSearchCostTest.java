package org.sequoiaspindle.core.coordination.forwarding.connection;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against bodies that stop the event loop of all requests while they are searched. */
final class EmbeddedHeadSearchCostTest {

    private static final int READ_BYTES = 65_536;

    /** Far above the time that a linear search takes on a busy machine. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    @Test
    void bodyOfManyStatusLinesIsSearchedInTime() {
        String line = "HTTP/1.1 200 OK\r\nA: b\r\n";
        assertSearchedInTime(line.repeat(READ_BYTES / line.length()));
    }

    @Test
    void bodyWithAFieldOfSpacesIsSearchedInTime() {
        assertSearchedInTime("HTTP/1.1 200 OK\r\nA:" + " ".repeat(4_000) + "b");
        assertSearchedInTime("HTTP/1.1 200 OK\r\nA:" + " ".repeat(READ_BYTES) + "b");
    }

    @Test
    void identifierBetweenSpacesIsFound() {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: \t one \t \r\n\r\n";
        assertTrue(EmbeddedHeadSearch.START.after(head, "one"::equals).found());
    }

    private static void assertSearchedInTime(String body) {
        assertTimeoutPreemptively(
                LIMIT,
                () -> assertFalse(EmbeddedHeadSearch.START.after(body, "one"::equals).found()));
    }
}
