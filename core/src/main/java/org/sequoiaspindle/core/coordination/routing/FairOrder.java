package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Start-time fair queueing over organisations (Goyal, Vin and Cheng, 1996), with the least slack
 * first within an organisation. A size class without free capacity is skipped, so that a long call
 * that cannot be placed does not block short ones.
 */
public final class FairOrder implements QueueOrder {

    @Override
    public Option<Match> next(
            GroupState group, Function<PendingCall, Option<EndpointState>> chooser) {
        Vector<OrganisationQueue> orderedQueues =
                group.queues()
                        .values()
                        .filter(queue -> !queue.isEmpty())
                        .toVector()
                        .sortBy(queue -> Math.max(group.virtualTime(), queue.finishTag()));
        for (OrganisationQueue queue : orderedQueues) {
            Option<Match> match = firstPlaceable(queue, chooser);
            if (match.isDefined()) {
                return match;
            }
        }
        return Option.none();
    }

    private static Option<Match> firstPlaceable(
            OrganisationQueue queue, Function<PendingCall, Option<EndpointState>> chooser) {
        Vector<PendingCall> nextCalls =
                Vector.of(SizeClass.SHORT, SizeClass.LONG)
                        .flatMap(queue::head)
                        .sorted(PendingCall.BY_SLACK);
        for (PendingCall pendingCall : nextCalls) {
            Option<Match> match = Match.of(pendingCall, chooser);
            if (match.isDefined()) {
                return match;
            }
        }
        return Option.none();
    }
}
