package org.sequoiaspindle.daemon.transport.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against reports of lost lines that are lost themselves, and against wrong intervals. */
final class DroppedEventsTest {

    private final AtomicLong now = new AtomicLong(5_000);
    private final DroppedEvents dropped = new DroppedEvents(now::get);

    DroppedEventsTest() {
        dropped.install();
    }

    @Test
    void lossesAreReportedOnlyOnceTheOutputHasTakenLinesForSomeTime() {
        dropped.recordLoss();
        now.addAndGet(DroppedEvents.QUIET_MS - 1);
        dropped.recordLoss();
        now.addAndGet(DroppedEvents.QUIET_MS - 1);
        assertTrue(dropped.takeUnreported().isEmpty());
        now.addAndGet(1);
        assertEquals(2, dropped.takeUnreported().get().lines());
        assertTrue(dropped.takeUnreported().isEmpty());
        assertEquals(2, dropped.total());
    }

    @Test
    void reportCoversTheTimeSinceTheFirstLoss() {
        dropped.recordLoss();
        now.addAndGet(300);
        dropped.recordLoss();
        now.addAndGet(DroppedEvents.QUIET_MS);
        DroppedEvents.Loss loss = dropped.takeUnreported().get();
        assertEquals(300 + DroppedEvents.QUIET_MS, dropped.millisSinceFirst(loss));
    }

    @Test
    void endOfTheLogReportsLossesWithoutDelay() {
        dropped.recordLoss();
        assertEquals(1, dropped.takeAllUnreported().get().lines());
        assertTrue(dropped.takeAllUnreported().isEmpty());
    }
}
