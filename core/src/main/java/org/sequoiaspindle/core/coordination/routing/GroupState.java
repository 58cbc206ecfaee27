package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Everything that this instance knows of one endpoint group. Immutable; {@link GroupTransitions}
 * gives the next state.
 *
 * @param endpoints endpoints of the own data centre by name
 * @param queues waiting tickets by organisation
 * @param model learned service times
 * @param virtualTime place of the fair order that was served last
 * @param queuedMs predicted service time of all waiting tickets, in milliseconds
 * @param committedMs predicted service time of admitted requests that will reach this group later,
 *     in milliseconds
 * @param lastShortAt time at which a short call was last submitted, in milliseconds
 * @param placements tickets assigned so far
 */
public record GroupState(
        TreeMap<String, EndpointState> endpoints,
        Map<String, OrganisationQueue> queues,
        ServiceModel model,
        double virtualTime,
        long queuedMs,
        long committedMs,
        long lastShortAt,
        long placements) {

    /** A group without endpoints. */
    public static GroupState empty() {
        return new GroupState(
                TreeMap.empty(), HashMap.empty(), ServiceModel.empty(), 0, 0, 0, Long.MIN_VALUE, 0);
    }

    public Option<EndpointState> endpoint(String name) {
        return endpoints.get(name);
    }

    /** Endpoints that may receive new work. */
    public Vector<EndpointState> open() {
        return endpoints.values().filter(endpoint -> !endpoint.leaving()).toVector();
    }

    /** Number of waiting tickets. */
    public int waiting() {
        return queues.values()
                .map(queue -> queue.shortTickets().size() + queue.longTickets().size())
                .sum()
                .intValue();
    }

    /** Whether a ticket of the size class waits. */
    public boolean waits(SizeClass sizeClass) {
        return queues.values().exists(queue -> !queue.tickets(sizeClass).isEmpty());
    }

    /** Calls of a size class in flight on all endpoints. */
    public int inFlight(SizeClass sizeClass) {
        return endpoints.values().map(endpoint -> endpoint.inFlight(sizeClass)).sum().intValue();
    }

    GroupState withEndpoint(EndpointState endpoint) {
        return withEndpoints(endpoints.put(endpoint.name(), endpoint));
    }

    GroupState withEndpoints(TreeMap<String, EndpointState> next) {
        return new GroupState(
                next, queues, model, virtualTime, queuedMs, committedMs, lastShortAt, placements);
    }

    GroupState withModel(ServiceModel next) {
        return new GroupState(
                endpoints,
                queues,
                next,
                virtualTime,
                queuedMs,
                committedMs,
                lastShortAt,
                placements);
    }

    GroupState withCommittedMs(long millis) {
        return new GroupState(
                endpoints,
                queues,
                model,
                virtualTime,
                queuedMs,
                Math.max(0, millis),
                lastShortAt,
                placements);
    }

    GroupState withLastShortAt(long time) {
        return new GroupState(
                endpoints, queues, model, virtualTime, queuedMs, committedMs, time, placements);
    }

    GroupState enqueue(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation()).add(ticket);
        return withQueue(queue, virtualTime, queuedMs + ticket.expectedMs(), placements);
    }

    GroupState dequeue(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation()).remove(ticket);
        return withQueue(queue, virtualTime, queuedMs - ticket.expectedMs(), placements);
    }

    /** Charges the organisation for a placed ticket (start-time fair queueing). */
    GroupState charge(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation());
        double startTag = Math.max(virtualTime, queue.finishTag());
        double cost = (double) Math.max(1, ticket.expectedMs()) / ticket.profile().weight();
        return withQueue(queue.withFinishTag(startTag + cost), startTag, queuedMs, placements + 1);
    }

    private OrganisationQueue queueOf(String organisation) {
        return queues.getOrElse(organisation, OrganisationQueue.empty(organisation));
    }

    private GroupState withQueue(
            OrganisationQueue queue, double nextVirtualTime, long nextQueuedMs, long nextPlaced) {
        return new GroupState(
                endpoints,
                queues.put(queue.organisation(), queue),
                model,
                nextVirtualTime,
                nextQueuedMs,
                committedMs,
                lastShortAt,
                nextPlaced);
    }
}
