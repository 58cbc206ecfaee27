package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.function.Function;

/** Chooses the waiting ticket that is placed next. A pure function of its arguments. */
@FunctionalInterface
public interface QueueOrder {

    /**
     * The next ticket with its endpoint, none if no ticket can be placed.
     *
     * @param placer an endpoint that has room for the ticket, none if there is none
     */
    Option<Match> next(GroupState group, Function<Ticket, Option<EndpointState>> placer);

    /**
     * A ticket and the endpoint that it is placed on.
     *
     * @param ticket a waiting ticket
     * @param endpoint an endpoint that has room for it
     */
    record Match(Ticket ticket, EndpointState endpoint) {

        static Option<Match> of(Ticket ticket, Function<Ticket, Option<EndpointState>> placer) {
            return placer.apply(ticket).map(endpoint -> new Match(ticket, endpoint));
        }
    }
}
