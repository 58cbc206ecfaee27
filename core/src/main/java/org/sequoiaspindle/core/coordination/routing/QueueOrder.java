package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.function.Function;

/** Chooses the pending call that is placed next. A pure function of its arguments. */
@FunctionalInterface
public interface QueueOrder {

    /**
     * Returns the next call with its endpoint, or none if no call can be placed.
     *
     * @param chooser returns the endpoint on which a call is placed now, or none if the call has to
     *     wait
     */
    Option<Match> next(GroupState group, Function<PendingCall, Option<EndpointState>> chooser);

    /**
     * A pending call and the endpoint on which it is placed.
     *
     * @param pending the call to be placed
     * @param endpoint the endpoint chosen for the call
     */
    record Match(PendingCall pending, EndpointState endpoint) {

        static Option<Match> of(
                PendingCall pending, Function<PendingCall, Option<EndpointState>> chooser) {
            return chooser.apply(pending).map(endpoint -> new Match(pending, endpoint));
        }
    }
}
