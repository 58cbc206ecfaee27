package org.sequoiaspindle.standins.coordination;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Assigns the slots of an endpoint to calls; calls without a slot wait in a bounded priority queue.
 * Holds one immutable table and replaces the table by compare-and-set.
 */
public final class SlotScheduler {

    private record ReportedUsage(long revision, SlotUsage load) {}

    private final AtomicReference<SlotTable> table;
    private final AtomicReference<ReportedUsage> reportedUsage;
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
        reportedUsage = new AtomicReference<>(new ReportedUsage(0, empty.load()));
        this.loadLagMs = loadLagMs;
        this.scheduler = scheduler;
    }

    /** Creates a request for a slot; it has no effect until {@link #submit} is called. */
    public SlotRequest newRequest(int priority, Runnable onStart) {
        return new SlotRequest(lastArrival.incrementAndGet(), priority, onStart);
    }

    /** Starts or queues the request. Returns false if all slots and the queue are full. */
    public boolean submit(SlotRequest slotRequest) {
        SlotTable before = table.getAndUpdate(current -> current.withRequest(slotRequest));
        return handleChange(before, before.withRequest(slotRequest));
    }

    /** Releases the slot or the queue place of a request. Idempotent. */
    public void release(SlotRequest slotRequest) {
        SlotTable before = table.getAndUpdate(current -> current.withoutRequest(slotRequest));
        handleChange(before, before.withoutRequest(slotRequest));
    }

    /** Returns the current load. */
    public SlotUsage load() {
        return table.get().load();
    }

    /** Returns the load as it was {@code loadLagMs} ago. */
    public SlotUsage reportedLoad() {
        return loadLagMs == 0 ? load() : reportedUsage.get().load;
    }

    private boolean handleChange(SlotTable before, SlotTable after) {
        if (before.revision() == after.revision()) {
            return false;
        }
        if (loadLagMs > 0) {
            ReportedUsage newUsage = new ReportedUsage(after.revision(), after.load());
            scheduler.schedule(loadLagMs, () -> publishUsage(newUsage));
        }
        after.startedSince(before).ifPresent(startedRequest -> startedRequest.onStart().run());
        return true;
    }

    private void publishUsage(ReportedUsage newUsage) {
        reportedUsage.updateAndGet(
                current -> newUsage.revision > current.revision ? newUsage : current);
    }
}
