package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Scheduling state of one endpoint group on this instance. Immutable; {@link GroupTransitions}
 * computes the next state.
 *
 * @param endpoints endpoints of the group in this instance's data centre, by name
 * @param queues pending calls by organisation
 * @param model learned service times
 * @param totals sums over endpoints and queues
 * @param virtualTime virtual time of start-time fair queueing: start tag of the call placed last
 * @param committedMs predicted service time of admitted requests that will reach this group later,
 *     in milliseconds
 * @param lastShortCallAt time at which a short call was last submitted, in milliseconds
 * @param assignedCount number of calls assigned so far
 */
public record GroupState(
        TreeMap<String, EndpointState> endpoints,
        Map<String, OrganisationQueue> queues,
        ServiceModel model,
        GroupTotals totals,
        double virtualTime,
        long committedMs,
        long lastShortCallAt,
        long assignedCount) {

    /** Returns the state of a group without endpoints. */
    public static GroupState empty() {
        return new GroupState(
                TreeMap.empty(),
                HashMap.empty(),
                ServiceModel.empty(),
                GroupTotals.NONE,
                0,
                0,
                Long.MIN_VALUE,
                0);
    }

    public Option<EndpointState> endpoint(String name) {
        return endpoints.get(name);
    }

    /** Returns the endpoints that may receive new calls. */
    public Vector<EndpointState> openEndpoints() {
        return endpoints.values().filter(endpoint -> !endpoint.leaving()).toVector();
    }

    /** Returns whether any endpoint may receive new calls. */
    public boolean hasOpenEndpoint() {
        return endpoints.values().exists(endpoint -> !endpoint.leaving());
    }

    /** Returns the number of pending calls. */
    public int pendingCount() {
        return totals.pending();
    }

    /** Returns the number of calls of a size class in flight on all endpoints. */
    public int inFlight(SizeClass sizeClass) {
        return endpoints.values().map(endpoint -> endpoint.inFlight(sizeClass)).sum().intValue();
    }

    GroupState withEndpoint(EndpointState endpoint) {
        GroupTotals remainingTotals =
                endpoints.get(endpoint.name()).map(totals::minus).getOrElse(totals);
        return with(endpoints.put(endpoint.name(), endpoint), remainingTotals.plus(endpoint));
    }

    GroupState withEndpoints(TreeMap<String, EndpointState> next) {
        GroupTotals remainingTotals = endpoints.values().foldLeft(totals, GroupTotals::minus);
        return with(next, next.values().foldLeft(remainingTotals, GroupTotals::plus));
    }

    /** Returns the state after a call has started on an endpoint. */
    GroupState start(EndpointState endpoint, RunningCall call) {
        GroupState started = withEndpoint(endpoint.start(call));
        return started.with(started.endpoints, started.totals.plusRunningMs(call.expectedMs()));
    }

    /** Returns the state after a call has ended on an endpoint. */
    GroupState end(EndpointState endpoint, RunningCall call) {
        GroupState ended = withEndpoint(endpoint.end(call.callId()));
        return ended.with(ended.endpoints, ended.totals.plusRunningMs(-call.expectedMs()));
    }

    GroupState withModel(ServiceModel next) {
        return new GroupState(
                endpoints,
                queues,
                next,
                totals,
                virtualTime,
                committedMs,
                lastShortCallAt,
                assignedCount);
    }

    GroupState withCommittedMs(long millis) {
        return new GroupState(
                endpoints,
                queues,
                model,
                totals,
                virtualTime,
                Math.max(0, millis),
                lastShortCallAt,
                assignedCount);
    }

    GroupState withLastShortCallAt(long time) {
        return new GroupState(
                endpoints, queues, model, totals, virtualTime, committedMs, time, assignedCount);
    }

    GroupState enqueue(PendingCall pendingCall) {
        OrganisationQueue queue = queueOf(pendingCall.profile().organisation()).add(pendingCall);
        return with(queue, totals.withPending(pendingCall, 1), virtualTime, assignedCount);
    }

    GroupState dequeue(PendingCall pendingCall) {
        OrganisationQueue queue = queueOf(pendingCall.profile().organisation()).remove(pendingCall);
        return with(queue, totals.withPending(pendingCall, -1), virtualTime, assignedCount);
    }

    /**
     * Charges the predicted service time of a placed call to its organisation (start-time fair
     * queueing).
     */
    GroupState charge(PendingCall pendingCall) {
        OrganisationQueue queue = queueOf(pendingCall.profile().organisation());
        double startTag = Math.max(virtualTime, queue.finishTag());
        double cost =
                (double) Math.max(1, pendingCall.expectedMs()) / pendingCall.profile().weight();
        return with(queue.withFinishTag(startTag + cost), totals, startTag, assignedCount + 1);
    }

    private OrganisationQueue queueOf(String organisation) {
        return queues.getOrElse(organisation, OrganisationQueue.empty(organisation));
    }

    private GroupState with(TreeMap<String, EndpointState> nextEndpoints, GroupTotals nextTotals) {
        return new GroupState(
                nextEndpoints,
                queues,
                model,
                nextTotals,
                virtualTime,
                committedMs,
                lastShortCallAt,
                assignedCount);
    }

    private GroupState with(
            OrganisationQueue queue,
            GroupTotals nextTotals,
            double nextVirtualTime,
            long nextAssignedCount) {
        return new GroupState(
                endpoints,
                queues.put(queue.organisation(), queue),
                model,
                nextTotals,
                nextVirtualTime,
                committedMs,
                lastShortCallAt,
                nextAssignedCount);
    }
}
