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
 * @param totals sums over endpoints and queues
 * @param virtualTime place of the fair order that was served last
 * @param committedMs predicted service time of admitted requests that will reach this group later,
 *     in milliseconds
 * @param lastShortAt time at which a short call was last submitted, in milliseconds
 * @param placements tickets assigned so far
 */
public record GroupState(
        TreeMap<String, EndpointState> endpoints,
        Map<String, OrganisationQueue> queues,
        ServiceModel model,
        Totals totals,
        double virtualTime,
        long committedMs,
        long lastShortAt,
        long placements) {

    /** A group without endpoints. */
    public static GroupState empty() {
        return new GroupState(
                TreeMap.empty(),
                HashMap.empty(),
                ServiceModel.empty(),
                Totals.NONE,
                0,
                0,
                Long.MIN_VALUE,
                0);
    }

    public Option<EndpointState> endpoint(String name) {
        return endpoints.get(name);
    }

    /** Endpoints that may receive new work. */
    public Vector<EndpointState> open() {
        return endpoints.values().filter(endpoint -> !endpoint.leaving()).toVector();
    }

    /** Whether any endpoint may receive new work. */
    public boolean isOpen() {
        return endpoints.values().exists(endpoint -> !endpoint.leaving());
    }

    /** Number of waiting tickets. */
    public int waiting() {
        return totals.waiting();
    }

    /** Calls of a size class in flight on all endpoints. */
    public int inFlight(SizeClass sizeClass) {
        return endpoints.values().map(endpoint -> endpoint.inFlight(sizeClass)).sum().intValue();
    }

    GroupState withEndpoint(EndpointState endpoint) {
        Totals without = endpoints.get(endpoint.name()).map(totals::minus).getOrElse(totals);
        return with(endpoints.put(endpoint.name(), endpoint), without.plus(endpoint));
    }

    GroupState withEndpoints(TreeMap<String, EndpointState> next) {
        Totals without = endpoints.values().foldLeft(totals, Totals::minus);
        return with(next, next.values().foldLeft(without, Totals::plus));
    }

    /** A call starts on an endpoint. */
    GroupState start(EndpointState endpoint, RunningCall call) {
        GroupState started = withEndpoint(endpoint.start(call));
        return started.with(started.endpoints, started.totals.withRunning(call.expectedMs()));
    }

    /** A call ends on an endpoint. */
    GroupState end(EndpointState endpoint, RunningCall call) {
        GroupState ended = withEndpoint(endpoint.end(call.ticket()));
        return ended.with(ended.endpoints, ended.totals.withRunning(-call.expectedMs()));
    }

    GroupState withModel(ServiceModel next) {
        return new GroupState(
                endpoints, queues, next, totals, virtualTime, committedMs, lastShortAt, placements);
    }

    GroupState withCommittedMs(long millis) {
        return new GroupState(
                endpoints,
                queues,
                model,
                totals,
                virtualTime,
                Math.max(0, millis),
                lastShortAt,
                placements);
    }

    GroupState withLastShortAt(long time) {
        return new GroupState(
                endpoints, queues, model, totals, virtualTime, committedMs, time, placements);
    }

    GroupState enqueue(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation()).add(ticket);
        return with(queue, totals.withWaiting(ticket, 1), virtualTime, placements);
    }

    GroupState dequeue(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation()).remove(ticket);
        return with(queue, totals.withWaiting(ticket, -1), virtualTime, placements);
    }

    /** Charges the organisation for a placed ticket (start-time fair queueing). */
    GroupState charge(Ticket ticket) {
        OrganisationQueue queue = queueOf(ticket.profile().organisation());
        double startTag = Math.max(virtualTime, queue.finishTag());
        double cost = (double) Math.max(1, ticket.expectedMs()) / ticket.profile().weight();
        return with(queue.withFinishTag(startTag + cost), totals, startTag, placements + 1);
    }

    private OrganisationQueue queueOf(String organisation) {
        return queues.getOrElse(organisation, OrganisationQueue.empty(organisation));
    }

    private GroupState with(TreeMap<String, EndpointState> nextEndpoints, Totals nextTotals) {
        return new GroupState(
                nextEndpoints,
                queues,
                model,
                nextTotals,
                virtualTime,
                committedMs,
                lastShortAt,
                placements);
    }

    private GroupState with(
            OrganisationQueue queue, Totals nextTotals, double nextVirtualTime, long nextPlaced) {
        return new GroupState(
                endpoints,
                queues.put(queue.organisation(), queue),
                model,
                nextTotals,
                nextVirtualTime,
                committedMs,
                lastShortAt,
                nextPlaced);
    }
}
