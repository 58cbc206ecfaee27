package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Start-time fair queueing over organisations (Goyal, Vin and Cheng, 1996), least slack first
 * within one. A class of tickets that finds no room is passed over, so that a long call without
 * room does not block short ones.
 */
public final class FairOrder implements QueueOrder {

    @Override
    public Option<Ticket> next(GroupState group, Predicate<Ticket> placeable) {
        Vector<OrganisationQueue> inOrder =
                group.queues()
                        .values()
                        .filter(queue -> !queue.isEmpty())
                        .toVector()
                        .sortBy(queue -> Math.max(group.virtualTime(), queue.finishTag()));
        for (OrganisationQueue queue : inOrder) {
            Option<Ticket> ticket = firstPlaceable(queue, placeable);
            if (ticket.isDefined()) {
                return ticket;
            }
        }
        return Option.none();
    }

    private static Option<Ticket> firstPlaceable(
            OrganisationQueue queue, Predicate<Ticket> placeable) {
        return Vector.of(SizeClass.SHORT, SizeClass.LONG)
                .flatMap(queue::first)
                .sorted(Ticket.BY_SLACK)
                .find(placeable);
    }
}
