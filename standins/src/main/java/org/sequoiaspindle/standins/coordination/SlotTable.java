package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Immutable table of the running requests and of the waiting requests in the order in which they
 * will start.
 *
 * @param revision number of changes so far
 */
record SlotTable(
        int slots,
        int queueLimit,
        long revision,
        List<SlotRequest> running,
        List<SlotRequest> waiting) {

    static SlotTable empty(int slots, int queueLimit) {
        return new SlotTable(slots, queueLimit, 0, List.of(), List.of());
    }

    /**
     * Returns the table with the request added to the running or waiting requests. Returns this
     * table if all slots and the queue are full.
     */
    SlotTable withRequest(SlotRequest slotRequest) {
        if (running.size() < slots) {
            return nextRevision(withInserted(running, running.size(), slotRequest), waiting);
        }
        if (waiting.size() >= queueLimit) {
            return this;
        }
        int index = waiting.size();
        while (index > 0 && slotRequest.precedes(waiting.get(index - 1))) {
            index--;
        }
        return nextRevision(running, withInserted(waiting, index, slotRequest));
    }

    /**
     * Returns the table without the request. The first waiting request takes a slot that becomes
     * free.
     */
    SlotTable withoutRequest(SlotRequest slotRequest) {
        if (waiting.contains(slotRequest)) {
            return nextRevision(running, withRemoved(waiting, slotRequest));
        }
        if (!running.contains(slotRequest)) {
            return this;
        }
        List<SlotRequest> otherRunning = withRemoved(running, slotRequest);
        return waiting.isEmpty()
                ? nextRevision(otherRunning, waiting)
                : nextRevision(
                        withInserted(otherRunning, otherRunning.size(), waiting.get(0)),
                        waiting.subList(1, waiting.size()));
    }

    /**
     * Returns the request that got a slot in the one change from the earlier table to this table.
     */
    Optional<SlotRequest> startedSince(SlotTable earlierTable) {
        if (running.isEmpty() || revision == earlierTable.revision) {
            return Optional.empty();
        }
        SlotRequest newestRequest = running.get(running.size() - 1);
        return earlierTable.running.contains(newestRequest)
                ? Optional.empty()
                : Optional.of(newestRequest);
    }

    SlotUsage load() {
        return new SlotUsage(running.size(), waiting.size(), slots);
    }

    private SlotTable nextRevision(List<SlotRequest> newRunning, List<SlotRequest> newWaiting) {
        return new SlotTable(
                slots, queueLimit, revision + 1, List.copyOf(newRunning), List.copyOf(newWaiting));
    }

    private static List<SlotRequest> withInserted(
            List<SlotRequest> requests, int index, SlotRequest slotRequest) {
        List<SlotRequest> result = new ArrayList<>(requests);
        result.add(index, slotRequest);
        return result;
    }

    private static List<SlotRequest> withRemoved(
            List<SlotRequest> requests, SlotRequest slotRequest) {
        List<SlotRequest> result = new ArrayList<>(requests);
        result.remove(slotRequest);
        return result;
    }
}
