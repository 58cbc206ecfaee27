package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiaspindle.standins.state.LoadReport;

/**
 * Immutable table of the calls that run and of those that wait, in the order in which they will
 * run.
 *
 * @param revision number of changes so far
 */
record SlotTable(
        int slots, int queueLimit, long revision, List<Ticket> running, List<Ticket> waiting) {

    static SlotTable empty(int slots, int queueLimit) {
        return new SlotTable(slots, queueLimit, 0, List.of(), List.of());
    }

    /** The table with the ticket running, waiting, or, if it is full, unchanged. */
    SlotTable with(Ticket ticket) {
        if (running.size() < slots) {
            return changed(plus(running, running.size(), ticket), waiting);
        }
        if (waiting.size() >= queueLimit) {
            return this;
        }
        int place = waiting.size();
        while (place > 0 && ticket.precedes(waiting.get(place - 1))) {
            place--;
        }
        return changed(running, plus(waiting, place, ticket));
    }

    /** The table without the ticket; the first waiting ticket takes a slot that becomes free. */
    SlotTable without(Ticket ticket) {
        if (waiting.contains(ticket)) {
            return changed(running, minus(waiting, ticket));
        }
        if (!running.contains(ticket)) {
            return this;
        }
        List<Ticket> left = minus(running, ticket);
        return waiting.isEmpty()
                ? changed(left, waiting)
                : changed(
                        plus(left, left.size(), waiting.get(0)),
                        waiting.subList(1, waiting.size()));
    }

    /** The ticket that got a slot by the change from the earlier table, if any. */
    Optional<Ticket> startedSince(SlotTable earlier) {
        if (running.isEmpty() || revision == earlier.revision) {
            return Optional.empty();
        }
        Ticket newest = running.get(running.size() - 1);
        return earlier.running.contains(newest) ? Optional.empty() : Optional.of(newest);
    }

    LoadReport load() {
        return new LoadReport(running.size(), waiting.size(), slots);
    }

    private SlotTable changed(List<Ticket> newRunning, List<Ticket> newWaiting) {
        return new SlotTable(
                slots, queueLimit, revision + 1, List.copyOf(newRunning), List.copyOf(newWaiting));
    }

    private static List<Ticket> plus(List<Ticket> tickets, int place, Ticket ticket) {
        List<Ticket> result = new ArrayList<>(tickets);
        result.add(place, ticket);
        return result;
    }

    private static List<Ticket> minus(List<Ticket> tickets, Ticket ticket) {
        List<Ticket> result = new ArrayList<>(tickets);
        result.remove(ticket);
        return result;
    }
}
