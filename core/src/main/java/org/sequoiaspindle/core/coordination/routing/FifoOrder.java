package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.function.Predicate;

/** First-in first-out over all organisations and sizes; a baseline. */
public final class FifoOrder implements QueueOrder {

    @Override
    public Option<Ticket> next(GroupState group, Predicate<Ticket> placeable) {
        return group.queues()
                .values()
                .flatMap(queue -> queue.shortTickets().toVector().appendAll(queue.longTickets()))
                .minBy(Comparator.comparingLong(Ticket::id))
                .filter(placeable);
    }
}
