package org.sequoiaspindle.standins.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.LoadReport;

/** Guards against a slot given to the wrong call, and against a load report without its lag. */
final class SlotsTest {

    private static final long LAG_MS = 50;

    private final ManualTimer timer = new ManualTimer();
    private final Slots slots = new Slots(1, 3, LAG_MS, timer);
    private final List<String> started = new ArrayList<>();

    @Test
    void waitingCallsStartByPriorityAndThenByArrival() {
        Ticket first = submit("first", 0);
        Ticket longer = submit("longer", 1);
        Ticket urgent = submit("urgent", 0);
        submit("urgent too", 0);
        assertFalse(slots.submit(slots.ticket(0, () -> started.add("too many"))));
        slots.release(first);
        slots.release(first);
        slots.release(longer);
        slots.release(urgent);
        assertEquals(List.of("first", "urgent", "urgent too"), started);
        assertEquals(new LoadReport(1, 0, 1), slots.load());
    }

    @Test
    void theReportedLoadIsThatOfOneLagAgo() {
        submit("first", 0);
        timer.advance(LAG_MS / 2);
        submit("second", 0);
        assertEquals(new LoadReport(0, 0, 1), slots.laggingLoad());
        timer.advance(LAG_MS / 2);
        assertEquals(new LoadReport(1, 0, 1), slots.laggingLoad());
        timer.advance(LAG_MS / 2);
        assertEquals(new LoadReport(1, 1, 1), slots.laggingLoad());
    }

    private Ticket submit(String name, int priority) {
        Ticket ticket = slots.ticket(priority, () -> started.add(name));
        assertTrue(slots.submit(ticket));
        return ticket;
    }
}
