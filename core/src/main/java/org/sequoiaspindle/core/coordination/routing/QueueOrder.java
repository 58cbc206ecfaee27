package org.sequoiaspindle.core.coordination.routing;

import io.vavr.control.Option;
import java.util.function.Predicate;

/** Chooses the waiting ticket that is placed next. A pure function of its arguments. */
@FunctionalInterface
public interface QueueOrder {

    /**
     * The next ticket.
     *
     * @param placeable whether an endpoint has room for the ticket
     */
    Option<Ticket> next(GroupState group, Predicate<Ticket> placeable);
}
