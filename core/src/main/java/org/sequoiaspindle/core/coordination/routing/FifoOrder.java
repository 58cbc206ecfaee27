package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.function.Function;

/** First-in first-out over all organisations and sizes; a baseline. */
public final class FifoOrder implements QueueOrder {

    @Override
    public Option<Match> next(GroupState group, Function<Ticket, Option<EndpointState>> placer) {
        return group.queues()
                .values()
                .flatMap(queue -> queue.shortTickets().toVector().appendAll(queue.longTickets()))
                .minBy(Comparator.comparingLong(Ticket::id))
                .flatMap(ticket -> Match.of(ticket, placer));
    }
}
