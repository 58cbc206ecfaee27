package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Tells which endpoints have room for a call: within the learned limits, lowered for slow
 * endpoints, and within the share of the slots that long calls may hold.
 *
 * @param longShare share of the group's slots that long calls may hold while short ones are
 *     expected, above 0 to 1
 * @param heedsHealth whether slowness and ejection count
 */
public record Room(double longShare, boolean heedsHealth) {

    /** Slower than this is treated as not answering. */
    static final double EJECTION_RATIO = 4;

    private static final double ORDINARY_SLOWNESS = 2;
    private static final long SHORT_EXPECTED_MS = 5_000;
    private static final long MIN_STALL_MS = 200;
    private static final double RECLASSIFY_RATIO = 4;
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** Endpoints that have room for the call; healthy ones if there are any. */
    public Vector<EndpointState> candidates(GroupState group, CallProfile profile, long now) {
        if (!groupHasRoom(group, profile.sizeClass(), now)) {
            return Vector.empty();
        }
        Vector<EndpointState> preferred =
                group.open()
                        .filter(
                                endpoint ->
                                        !profile.avoid().contains(endpoint.name())
                                                && isHealthy(endpoint, profile, now));
        if (preferred.nonEmpty()) {
            return preferred.filter(endpoint -> endpointHasRoom(endpoint, now));
        }
        return fallback(group, profile).filter(endpoint -> endpointHasRoom(endpoint, now));
    }

    /** Without a healthy endpoint any other is better than none. */
    private static Vector<EndpointState> fallback(GroupState group, CallProfile profile) {
        Vector<EndpointState> untried =
                group.open().filter(endpoint -> !profile.avoid().contains(endpoint.name()));
        return untried.isEmpty() ? group.open() : untried;
    }

    /** Whether one more endpoint may be ejected. */
    static boolean mayEject(GroupState group) {
        Vector<EndpointState> open = group.open();
        int ejected = open.count(endpoint -> endpoint.health().isEjected());
        return ejected + 1 <= MAX_EJECTED_SHARE * open.size();
    }

    /** How slow an endpoint looks now, by its answers and by the calls that it still owes. */
    static double slownessNow(EndpointState endpoint, long now) {
        return Math.max(endpoint.slowness(), stall(endpoint, now));
    }

    /**
     * How much less work an endpoint gets for its slowness. The average rises fast and falls slowly
     * and so lies above 1 for ordinary variation; only clear slowness counts.
     */
    static double penalty(double slowness) {
        return Math.max(1, slowness / ORDINARY_SLOWNESS);
    }

    private boolean isHealthy(EndpointState endpoint, CallProfile profile, long now) {
        if (!heedsHealth) {
            return true;
        }
        if (!endpoint.health().isEjected()) {
            return stall(endpoint, now) < EJECTION_RATIO;
        }
        // After the ejection one idempotent call at a time probes the endpoint.
        return now >= endpoint.health().ejectedUntil()
                && endpoint.inFlight() == 0
                && profile.idempotent();
    }

    private boolean endpointHasRoom(EndpointState endpoint, long now) {
        double limit = endpoint.limit();
        if (heedsHealth) {
            limit = limit / penalty(slownessNow(endpoint, now));
        }
        return endpoint.inFlight() < Math.max(1, Math.ceil(limit));
    }

    private boolean groupHasRoom(GroupState group, SizeClass sizeClass, long now) {
        double limit = group.totals().limit();
        if (group.totals().inFlight() >= Math.max(1, Math.ceil(limit))) {
            return false;
        }
        if (sizeClass == SizeClass.SHORT || !shortExpected(group, now)) {
            return true;
        }
        return longInFlight(group, now) < Math.max(1, Math.floor(limit * longShare));
    }

    private static boolean shortExpected(GroupState group, long now) {
        return group.totals().waitingShort() > 0 || group.lastShortAt() >= now - SHORT_EXPECTED_MS;
    }

    /** Long calls, and short ones that have run so long that their prediction was wrong. */
    private static int longInFlight(GroupState group, long now) {
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
                                                                        > RECLASSIFY_RATIO))
                .sum()
                .intValue();
    }

    private static double stall(EndpointState endpoint, long now) {
        if (endpoint.running().isEmpty()) {
            return 0;
        }
        RunningCall oldest = endpoint.running().head()._2;
        return now - oldest.startedAt() < MIN_STALL_MS ? 0 : oldest.ageRatio(now);
    }
}
