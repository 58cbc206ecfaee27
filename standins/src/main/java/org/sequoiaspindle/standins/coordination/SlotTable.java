package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Immutable table of the running calls and of the waiting calls in the order in which they will
 * start.
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

    /** The table with the request running or waiting, or this table if slots and queue are full. */
    SlotTable withRequest(SlotRequest slotRequest) {
        if (running.size() < slots) {
            return nextRevision(inserted(running, running.size(), slotRequest), waiting);
        }
        if (waiting.size() >= queueLimit) {
            return this;
        }
        int index = waiting.size();
        while (index > 0 && slotRequest.precedes(waiting.get(index - 1))) {
            index--;
        }
        return nextRevision(running, inserted(waiting, index, slotRequest));
    }

    /** The table without the request; the first waiting request takes a slot that becomes free. */
    SlotTable withoutRequest(SlotRequest slotRequest) {
        if (waiting.contains(slotRequest)) {
            return nextRevision(running, removed(waiting, slotRequest));
        }
        if (!running.contains(slotRequest)) {
            return this;
        }
        List<SlotRequest> remaining = removed(running, slotRequest);
        return waiting.isEmpty()
                ? nextRevision(remaining, waiting)
                : nextRevision(
                        inserted(remaining, remaining.size(), waiting.get(0)),
                        waiting.subList(1, waiting.size()));
    }

    /** The request that got its slot in the step from the previous table to this one, if any. */
    Optional<SlotRequest> startedSince(SlotTable earlier) {
        if (running.isEmpty() || revision == earlier.revision) {
            return Optional.empty();
        }
        SlotRequest newest = running.get(running.size() - 1);
        return earlier.running.contains(newest) ? Optional.empty() : Optional.of(newest);
    }

    SlotUsage load() {
        return new SlotUsage(running.size(), waiting.size(), slots);
    }

    private SlotTable nextRevision(List<SlotRequest> newRunning, List<SlotRequest> newWaiting) {
        return new SlotTable(
                slots, queueLimit, revision + 1, List.copyOf(newRunning), List.copyOf(newWaiting));
    }

    private static List<SlotRequest> inserted(
            List<SlotRequest> requests, int index, SlotRequest slotRequest) {
        List<SlotRequest> result = new ArrayList<>(requests);
        result.add(index, slotRequest);
        return result;
    }

    private static List<SlotRequest> removed(List<SlotRequest> requests, SlotRequest slotRequest) {
        List<SlotRequest> result = new ArrayList<>(requests);
        result.remove(slotRequest);
        return result;
    }
}
