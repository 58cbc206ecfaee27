package org.sequoiaspindle.standins.coordination;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Assigns the slots of an endpoint to calls; calls without a slot wait in a bounded priority queue.
 * Holds one immutable table and replaces it by compare-and-set.
 */
public final class SlotScheduler {

    private record ReportedUsage(long revision, SlotUsage load) {}

    private final AtomicReference<SlotTable> table;
    private final AtomicReference<ReportedUsage> reported;
    private final AtomicLong lastArrival = new AtomicLong();
    private final ActionScheduler scheduler;
    private final long loadLagMs;

    /**
     * Creates a scheduler whose slots are all free.
     *
     * @param loadLagMs delay until a change of the load is reported, in milliseconds
     */
    public SlotScheduler(int slots, int queueLimit, long loadLagMs, ActionScheduler scheduler) {
        SlotTable empty = SlotTable.empty(slots, queueLimit);
        table = new AtomicReference<>(empty);
        reported = new AtomicReference<>(new ReportedUsage(0, empty.load()));
        this.loadLagMs = loadLagMs;
        this.scheduler = scheduler;
    }

    /** Creates a request for a slot; it has no effect until it is submitted. */
    public SlotRequest newRequest(int priority, Runnable onStart) {
        return new SlotRequest(lastArrival.incrementAndGet(), priority, onStart);
    }

    /** Starts or queues the request; returns false if slots and queue are full. */
    public boolean submit(SlotRequest slotRequest) {
        SlotTable before = table.getAndUpdate(current -> current.withRequest(slotRequest));
        return notifyOfChange(before, before.withRequest(slotRequest));
    }

    /** Releases the slot or the queue place of a request. Idempotent. */
    public void release(SlotRequest slotRequest) {
        SlotTable before = table.getAndUpdate(current -> current.withoutRequest(slotRequest));
        notifyOfChange(before, before.withoutRequest(slotRequest));
    }

    /** The current load. */
    public SlotUsage load() {
        return table.get().load();
    }

    /** The load as it was {@code loadLagMs} ago. */
    public SlotUsage reportedLoad() {
        return loadLagMs == 0 ? load() : reported.get().load;
    }

    private boolean notifyOfChange(SlotTable before, SlotTable after) {
        if (before.revision() == after.revision()) {
            return false;
        }
        if (loadLagMs > 0) {
            ReportedUsage newer = new ReportedUsage(after.revision(), after.load());
            scheduler.schedule(loadLagMs, () -> publishReport(newer));
        }
        after.startedSince(before).ifPresent(started -> started.onStart().run());
        return true;
    }

    private void publishReport(ReportedUsage newer) {
        reported.updateAndGet(current -> newer.revision > current.revision ? newer : current);
    }
}
