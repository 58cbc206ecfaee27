package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Selects the endpoints that have free capacity for a call, by their concurrency limits, which are
 * reduced for slow endpoints, and by the share of the slots that long calls may hold.
 *
 * @param maxLongCallShare share of the group's slots that long calls may hold while short calls are
 *     expected; above 0, at most 1
 * @param healthAware whether slowness and ejections are taken into account
 */
public record CapacityRule(double maxLongCallShare, boolean healthAware) {

    /** An endpoint that is slower than predicted by this factor counts as unresponsive. */
    static final double EJECTION_RATIO = 4;

    private static final double TOLERATED_SLOWNESS = 2;
    private static final long SHORT_CALLS_EXPECTED_MS = 5_000;
    private static final long MIN_STALLED_CALL_MS = 200;
    private static final double RECLASSIFY_AS_LONG_RATIO = 4;
    private static final double MAX_EJECTED_SHARE = 0.5;

    /**
     * Returns the endpoints with free capacity for the call. Unhealthy or already tried endpoints
     * are considered only if the group has no other endpoint.
     */
    public Vector<EndpointState> candidates(GroupState group, CallProfile profile, long now) {
        if (!groupHasCapacity(group, profile.sizeClass(), now)) {
            return Vector.empty();
        }
        Vector<EndpointState> preferredEndpoints =
                group.openEndpoints()
                        .filter(
                                endpoint ->
                                        !profile.triedEndpoints().contains(endpoint.name())
                                                && isHealthy(endpoint, profile, now));
        if (preferredEndpoints.nonEmpty()) {
            return preferredEndpoints.filter(endpoint -> endpointHasCapacity(endpoint, now));
        }
        return fallbackCandidates(group, profile)
                .filter(endpoint -> endpointHasCapacity(endpoint, now));
    }

    /** Without a healthy endpoint, an unhealthy one is better than none. */
    private static Vector<EndpointState> fallbackCandidates(GroupState group, CallProfile profile) {
        Vector<EndpointState> untriedEndpoints =
                group.openEndpoints()
                        .filter(endpoint -> !profile.triedEndpoints().contains(endpoint.name()));
        return untriedEndpoints.isEmpty() ? group.openEndpoints() : untriedEndpoints;
    }

    /** Returns whether one more endpoint of the group may be ejected. */
    static boolean mayEject(GroupState group) {
        Vector<EndpointState> openEndpoints = group.openEndpoints();
        int ejectedCount = openEndpoints.count(endpoint -> endpoint.health().isEjected());
        return ejectedCount + 1 <= MAX_EJECTED_SHARE * openEndpoints.size();
    }

    /**
     * Returns the slowness of an endpoint, judged by its completed calls and by the age of its
     * oldest call in flight.
     */
    static double slownessNow(EndpointState endpoint, long now) {
        return Math.max(endpoint.slowness(), oldestCallRatio(endpoint, now));
    }

    /**
     * Returns the factor by which the load of a slow endpoint is reduced. The moving average rises
     * faster than it falls, so ordinary variation keeps the average above 1. Therefore only values
     * above the tolerated slowness count.
     */
    static double penalty(double slowness) {
        return Math.max(1, slowness / TOLERATED_SLOWNESS);
    }

    private boolean isHealthy(EndpointState endpoint, CallProfile profile, long now) {
        if (!healthAware) {
            return true;
        }
        if (!endpoint.health().isEjected()) {
            return oldestCallRatio(endpoint, now) < EJECTION_RATIO;
        }
        // After the ejection, the endpoint is probed with one idempotent call at a time.
        return now >= endpoint.health().ejectedUntil()
                && endpoint.inFlight() == 0
                && profile.idempotent();
    }

    private boolean endpointHasCapacity(EndpointState endpoint, long now) {
        double limit = endpoint.limit();
        if (healthAware) {
            limit = limit / penalty(slownessNow(endpoint, now));
        }
        return endpoint.inFlight() < Math.max(1, Math.ceil(limit));
    }

    private boolean groupHasCapacity(GroupState group, SizeClass sizeClass, long now) {
        double limit = group.totals().limit();
        if (group.totals().inFlight() >= Math.max(1, Math.ceil(limit))) {
            return false;
        }
        if (sizeClass == SizeClass.SHORT || !shortCallsExpected(group, now)) {
            return true;
        }
        return longCallsInFlight(group, now) < Math.max(1, Math.floor(limit * maxLongCallShare));
    }

    private static boolean shortCallsExpected(GroupState group, long now) {
        return group.totals().pendingShort() > 0
                || group.lastShortCallAt() >= now - SHORT_CALLS_EXPECTED_MS;
    }

    /**
     * Returns the number of long calls in flight, including calls predicted to be short that have
     * run far longer than predicted.
     */
    private static int longCallsInFlight(GroupState group, long now) {
        return group.endpoints()
                .values()
                .map(
                        endpoint ->
                                endpoint.running()
                                        .values()
                                        .count(
                                                call ->
                                                        call.sizeClass() == SizeClass.LONG
                                                                || call.ageRatio(now)
                                                                        > RECLASSIFY_AS_LONG_RATIO))
                .sum()
                .intValue();
    }

    private static double oldestCallRatio(EndpointState endpoint, long now) {
        if (endpoint.running().isEmpty()) {
            return 0;
        }
        RunningCall oldestCall = endpoint.running().head()._2;
        return now - oldestCall.startedAt() < MIN_STALLED_CALL_MS ? 0 : oldestCall.ageRatio(now);
    }
}
