package org.sequoiaspindle.core.coordination.forwarding.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against requests that are accepted during a drain and cut off at its end. */
final class DrainAdmissionTest {

    private static final long NOW = 10_000;

    @Test
    void requestThatWouldOutlastTheDrainIsNotAccepted() {
        DrainAdmission draining = new DrainAdmission(NOW + 3_000);
        assertTrue(draining.canComplete(NOW, 3_000));
        assertFalse(draining.canComplete(NOW, 3_001));
        assertFalse(draining.canComplete(NOW + 3_001, 0));
    }

    @Test
    void anyRequestIsAcceptedWithoutADrain() {
        assertTrue(DrainAdmission.NOT_DRAINING.canComplete(NOW, Long.MAX_VALUE));
        assertEquals(NOW, DrainAdmission.NOT_DRAINING.limitDeadline(NOW));
    }

    @Test
    void deadlineIsNotAfterTheEndOfTheDrain() {
        assertEquals(NOW + 3_000, new DrainAdmission(NOW + 3_000).limitDeadline(NOW + 9_000));
        assertEquals(NOW + 1_000, new DrainAdmission(NOW + 3_000).limitDeadline(NOW + 1_000));
    }

    @Test
    void shortDrainLeavesHalfOfItsTimeForAcceptedRequests() {
        assertEquals(2_500, DrainAdmission.acceptMillis(2_500, 7_500));
        assertEquals(1_000, DrainAdmission.acceptMillis(2_500, 2_000));
    }
}
