package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.function.Function;

/** First-in first-out over all organisations and size classes; a baseline for comparison. */
public final class FifoOrder implements QueueOrder {

    @Override
    public Option<Match> next(
            GroupState group, Function<PendingCall, Option<EndpointState>> chooser) {
        return group.queues()
                .values()
                .flatMap(queue -> queue.shortCalls().toVector().appendAll(queue.longCalls()))
                .minBy(Comparator.comparingLong(PendingCall::id))
                .flatMap(pendingCall -> Match.of(pendingCall, chooser));
    }
}
