package org.sequoiaspindle.standins.coordination;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.state.LoadReport;

/**
 * Slots of an endpoint with a bounded queue in front. Holds one immutable table and replaces it by
 * compare-and-set.
 */
public final class Slots {

    private record Shown(long revision, LoadReport load) {}

    private final AtomicReference<SlotTable> table;
    private final AtomicReference<Shown> shown;
    private final AtomicLong lastNumber = new AtomicLong();
    private final Timer timer;
    private final long loadLagMs;

    /**
     * Creates free slots.
     *
     * @param loadLagMs age of the load that is reported
     */
    public Slots(int slots, int queueLimit, long loadLagMs, Timer timer) {
        SlotTable empty = SlotTable.empty(slots, queueLimit);
        table = new AtomicReference<>(empty);
        shown = new AtomicReference<>(new Shown(0, empty.load()));
        this.loadLagMs = loadLagMs;
        this.timer = timer;
    }

    /** Creates a ticket; it has no effect until it is submitted. */
    public Ticket ticket(int priority, Runnable start) {
        return new Ticket(lastNumber.incrementAndGet(), priority, start);
    }

    /** Starts the ticket now or later; returns false if slots and queue are full. */
    public boolean submit(Ticket ticket) {
        SlotTable before = table.getAndUpdate(held -> held.with(ticket));
        return applied(before, before.with(ticket));
    }

    /** Gives up the slot or the place in the queue of a ticket; has no effect a second time. */
    public void release(Ticket ticket) {
        SlotTable before = table.getAndUpdate(held -> held.without(ticket));
        applied(before, before.without(ticket));
    }

    /** The present load. */
    public LoadReport load() {
        return table.get().load();
    }

    /** The load as it was one lag ago. */
    public LoadReport laggingLoad() {
        return loadLagMs == 0 ? load() : shown.get().load;
    }

    private boolean applied(SlotTable before, SlotTable after) {
        if (before.revision() == after.revision()) {
            return false;
        }
        if (loadLagMs > 0) {
            Shown next = new Shown(after.revision(), after.load());
            timer.after(loadLagMs, () -> show(next));
        }
        after.startedSince(before).ifPresent(started -> started.start().run());
        return true;
    }

    private void show(Shown next) {
        shown.updateAndGet(held -> next.revision > held.revision ? next : held);
    }
}
