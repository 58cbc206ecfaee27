package org.sequoiaspindle.standins.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Guards against a slot assigned out of priority order, and against a load that is reported without
 * the delay.
 */
final class SlotSchedulerTest {

    private static final long LAG_MS = 50;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final SlotScheduler slots = new SlotScheduler(1, 3, LAG_MS, scheduler);
    private final List<String> started = new ArrayList<>();

    @Test
    void waitingCallsStartByPriorityAndThenByArrival() {
        SlotRequest first = submit("first", 0);
        SlotRequest lowPriority = submit("low priority", 1);
        SlotRequest urgent = submit("urgent", 0);
        submit("urgent too", 0);
        assertFalse(slots.submit(slots.newRequest(0, () -> started.add("too many"))));
        slots.release(first);
        slots.release(first);
        slots.release(lowPriority);
        slots.release(urgent);
        assertEquals(List.of("first", "urgent", "urgent too"), started);
        assertEquals(new SlotUsage(1, 0, 1), slots.load());
    }

    @Test
    void theReportedLoadIsDelayedByTheLag() {
        submit("first", 0);
        scheduler.advance(LAG_MS / 2);
        submit("second", 0);
        assertEquals(new SlotUsage(0, 0, 1), slots.reportedLoad());
        scheduler.advance(LAG_MS / 2);
        assertEquals(new SlotUsage(1, 0, 1), slots.reportedLoad());
        scheduler.advance(LAG_MS / 2);
        assertEquals(new SlotUsage(1, 1, 1), slots.reportedLoad());
    }

    private SlotRequest submit(String name, int priority) {
        SlotRequest slotRequest = slots.newRequest(priority, () -> started.add(name));
        assertTrue(slots.submit(slotRequest));
        return slotRequest;
    }
}
