package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against due times that ignore the measured durations of the remaining steps. */
final class DurationEstimatesTest {

    private final DurationEstimates estimates = new DurationEstimates();

    @Test
    void fallbackHoldsUntilSomethingIsObserved() {
        assertEquals(300, estimates.typicalMaxMillis("encoder", 300));
        estimates.observe("encoder", 100);
        assertEquals(100, estimates.typicalMaxMillis("encoder", 300));
        assertEquals(300, estimates.typicalMaxMillis("reranker", 300));
    }

    @Test
    void usualTimeCoversMostOfVaryingDurations() {
        for (int i = 0; i < 200; i++) {
            estimates.observe("encoder", i % 2 == 0 ? 100 : 300);
        }
        double usual = estimates.typicalMaxMillis("encoder", 0);
        assertTrue(usual > 270 && usual < 330, "usual " + usual);
    }

    @Test
    void estimateFollowsAChangeWithinSomeTensOfObservations() {
        estimates.observe("encoder", 100);
        for (int i = 0; i < 40; i++) {
            estimates.observe("encoder", 500);
        }
        assertTrue(estimates.typicalMaxMillis("encoder", 0) > 450);
    }

    /** Guards against late responses to long prompts whose due times come from short prompts. */
    @Test
    void runOfALongPromptIsEstimatedFromLongPrompts() {
        FirstByteTimeEstimates runs = new FirstByteTimeEstimates();
        assertEquals(150, runs.typicalMaxMillis("report", 30_000, 150));
        runs.observe("report", 1_000, 100);
        assertEquals(100, runs.typicalMaxMillis("report", 30_000, 150));
        runs.observe("report", 30_000, 900);
        assertEquals(900, runs.typicalMaxMillis("report", 20_000, 150));
        assertEquals(100, runs.typicalMaxMillis("report", 800, 150));
    }
}
