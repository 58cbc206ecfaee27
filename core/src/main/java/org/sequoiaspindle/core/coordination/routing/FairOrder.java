package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Start-time fair queueing over organisations (Goyal, Vin and Cheng, 1996), least slack first
 * within one. A class of tickets that finds no room is passed over, so that a long call without
 * room does not block short ones.
 */
public final class FairOrder implements QueueOrder {

    @Override
    public Option<Match> next(GroupState group, Function<Ticket, Option<EndpointState>> placer) {
        Vector<OrganisationQueue> inOrder =
                group.queues()
                        .values()
                        .filter(queue -> !queue.isEmpty())
                        .toVector()
                        .sortBy(queue -> Math.max(group.virtualTime(), queue.finishTag()));
        for (OrganisationQueue queue : inOrder) {
            Option<Match> match = firstPlaceable(queue, placer);
            if (match.isDefined()) {
                return match;
            }
        }
        return Option.none();
    }

    private static Option<Match> firstPlaceable(
            OrganisationQueue queue, Function<Ticket, Option<EndpointState>> placer) {
        Vector<Ticket> firsts =
                Vector.of(SizeClass.SHORT, SizeClass.LONG)
                        .flatMap(queue::first)
                        .sorted(Ticket.BY_SLACK);
        for (Ticket ticket : firsts) {
            Option<Match> match = Match.of(ticket, placer);
            if (match.isDefined()) {
                return match;
            }
        }
        return Option.none();
    }
}
