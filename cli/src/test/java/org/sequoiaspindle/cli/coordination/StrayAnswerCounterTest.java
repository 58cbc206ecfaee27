package org.sequoiaspindle.cli.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.HashMap;
import io.vavr.collection.Stream;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.StrayAnswerCounts;

/** Guards against memory that grows with the number of endpoints in the logs. */
final class StrayAnswerCounterTest {

    @Property(seed = "20261206", tries = 5)
    void endpointsBeyondTheLimitAreCountedTogether(@ForAll @IntRange(max = 500) int excess) {
        int endpoints = StrayAnswerCounter.MAX_ENDPOINTS + excess;
        StrayAnswerCounts counts =
                Stream.range(0, endpoints)
                        .map(number -> stray("e-" + number))
                        .foldLeft(StrayAnswerCounts.NONE, StrayAnswerCounter::count);
        assertEquals(StrayAnswerCounter.MAX_ENDPOINTS, counts.endpoints().size());
        assertEquals(excess, counts.otherEndpoints().total());
        assertEquals(endpoints, counts.total().total());
    }

    private static LogLine stray(String endpoint) {
        return new LogLine(
                Instant.EPOCH,
                "entry-1",
                "STRAY_ANSWER",
                HashMap.of("requestId", "none", "endpoint", endpoint, "status", "200"));
    }
}
