package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against due times that do not reflect the measured durations of the remaining stages. */
final class DurationEstimatesTest {

    private final DurationEstimates estimates = new DurationEstimates();

    @Test
    void fallbackIsReturnedUntilADurationIsObserved() {
        assertEquals(300, estimates.typicalMaxMillis("encoder", 300));
        estimates.observe("encoder", 100);
        assertEquals(100, estimates.typicalMaxMillis("encoder", 300));
        assertEquals(300, estimates.typicalMaxMillis("reranker", 300));
    }

    @Test
    void typicalMaximumExceedsMostOfVaryingDurations() {
        for (int i = 0; i < 200; i++) {
            estimates.observe("encoder", i % 2 == 0 ? 100 : 300);
        }
        double typicalMaxMillis = estimates.typicalMaxMillis("encoder", 0);
        assertTrue(
                typicalMaxMillis > 270 && typicalMaxMillis < 330,
                "typical maximum " + typicalMaxMillis);
    }

    @Test
    void estimateFollowsAChangeWithinFortyObservations() {
        estimates.observe("encoder", 100);
        for (int i = 0; i < 40; i++) {
            estimates.observe("encoder", 500);
        }
        assertTrue(estimates.typicalMaxMillis("encoder", 0) > 450);
    }

    /**
     * Guards against late responses to long prompts. They occur if the due time of a long prompt is
     * computed from the durations of short prompts.
     */
    @Test
    void firstByteTimeOfALongPromptIsEstimatedFromLongPrompts() {
        FirstByteTimeEstimates firstByteTimes = new FirstByteTimeEstimates();
        assertEquals(150, firstByteTimes.typicalMaxMillis("report", 30_000, 150));
        firstByteTimes.observe("report", 1_000, 100);
        assertEquals(100, firstByteTimes.typicalMaxMillis("report", 30_000, 150));
        firstByteTimes.observe("report", 30_000, 900);
        assertEquals(900, firstByteTimes.typicalMaxMillis("report", 20_000, 150));
        assertEquals(100, firstByteTimes.typicalMaxMillis("report", 800, 150));
    }
}
