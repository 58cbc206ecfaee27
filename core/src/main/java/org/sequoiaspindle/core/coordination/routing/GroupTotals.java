package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.SizeClass;

/**
 * Sums over a group, updated with every change so that the sums need not be computed from endpoints
 * and queues for each decision.
 *
 * @param inFlight calls in flight
 * @param limit sum of the concurrency limits of the endpoints that are not leaving
 * @param capacity sum of the same concurrency limits, with the limit of a slow endpoint divided by
 *     its slowness penalty
 * @param runningMs predicted service time of the calls in flight, in milliseconds
 * @param pendingShort pending short calls
 * @param pendingLong pending long calls
 * @param pendingMs predicted service time of the pending calls, in milliseconds
 */
public record GroupTotals(
        int inFlight,
        double limit,
        double capacity,
        long runningMs,
        int pendingShort,
        int pendingLong,
        long pendingMs) {

    static final GroupTotals NONE = new GroupTotals(0, 0, 0, 0, 0, 0, 0);

    /** Returns the number of pending calls. */
    public int pending() {
        return pendingShort + pendingLong;
    }

    GroupTotals plus(EndpointState endpoint) {
        return addEndpoint(endpoint, 1);
    }

    GroupTotals minus(EndpointState endpoint) {
        return addEndpoint(endpoint, -1);
    }

    GroupTotals plusRunningMs(long expectedMs) {
        return new GroupTotals(
                inFlight,
                limit,
                capacity,
                runningMs + expectedMs,
                pendingShort,
                pendingLong,
                pendingMs);
    }

    GroupTotals withPending(PendingCall pendingCall, int sign) {
        boolean isShort = pendingCall.profile().sizeClass() == SizeClass.SHORT;
        return new GroupTotals(
                inFlight,
                limit,
                capacity,
                runningMs,
                isShort ? pendingShort + sign : pendingShort,
                isShort ? pendingLong : pendingLong + sign,
                pendingMs + sign * pendingCall.expectedMs());
    }

    private GroupTotals addEndpoint(EndpointState endpoint, int sign) {
        double openLimit = endpoint.leaving() ? 0 : endpoint.limit();
        return new GroupTotals(
                inFlight + sign * endpoint.inFlight(),
                limit + sign * openLimit,
                capacity + sign * openLimit / CapacityRule.penalty(endpoint.slowness()),
                runningMs,
                pendingShort,
                pendingLong,
                pendingMs);
    }
}
