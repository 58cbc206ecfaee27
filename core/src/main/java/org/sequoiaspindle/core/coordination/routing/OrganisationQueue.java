package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Waiting tickets of one organisation, least slack first, and its place in the fair order.
 *
 * @param organisation name of the organisation
 * @param finishTag virtual time up to which the organisation has used its share
 * @param shortTickets waiting short calls
 * @param longTickets waiting long calls
 */
public record OrganisationQueue(
        String organisation,
        double finishTag,
        TreeSet<Ticket> shortTickets,
        TreeSet<Ticket> longTickets) {

    static OrganisationQueue empty(String organisation) {
        return new OrganisationQueue(
                organisation, 0, TreeSet.empty(Ticket.BY_SLACK), TreeSet.empty(Ticket.BY_SLACK));
    }

    /** Waiting tickets of a size class. */
    public TreeSet<Ticket> tickets(SizeClass sizeClass) {
        return sizeClass == SizeClass.SHORT ? shortTickets : longTickets;
    }

    /** Ticket of least slack in a size class. */
    public Option<Ticket> first(SizeClass sizeClass) {
        return tickets(sizeClass).headOption();
    }

    public boolean isEmpty() {
        return shortTickets.isEmpty() && longTickets.isEmpty();
    }

    OrganisationQueue add(Ticket ticket) {
        return with(
                ticket.profile().sizeClass(), tickets(ticket.profile().sizeClass()).add(ticket));
    }

    OrganisationQueue remove(Ticket ticket) {
        SizeClass sizeClass = ticket.profile().sizeClass();
        return with(sizeClass, tickets(sizeClass).remove(ticket));
    }

    OrganisationQueue withFinishTag(double tag) {
        return new OrganisationQueue(organisation, tag, shortTickets, longTickets);
    }

    private OrganisationQueue with(SizeClass sizeClass, TreeSet<Ticket> tickets) {
        return sizeClass == SizeClass.SHORT
                ? new OrganisationQueue(organisation, finishTag, tickets, longTickets)
                : new OrganisationQueue(organisation, finishTag, shortTickets, tickets);
    }
}
