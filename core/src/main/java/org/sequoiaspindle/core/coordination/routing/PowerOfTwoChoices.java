package org.sequoiaspindle.core.coordination.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import java.util.random.RandomGenerator;
import org.sequoiaspindle.core.coordination.routing.CallReport.EndpointLoad;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Chooses the less loaded of two random endpoints (power of two choices, Mitzenmacher, 2001), so
 * that instances with the same load reports do not all choose the same endpoint. An endpoint that
 * probably caches the prompt prefix is preferred as long as the load imbalance stays within a
 * bound.
 *
 * @param capacity selects the endpoints with free capacity
 * @param affinityBound factor by which the load score of the preferred endpoint may exceed that of
 *     the other candidate; 1 disables the preference
 * @param packLongCalls whether long calls fill the endpoints in an order that is the same on all
 *     instances, which leaves the last endpoints in this order free for short calls
 */
public record PowerOfTwoChoices(CapacityRule capacity, double affinityBound, boolean packLongCalls)
        implements EndpointChooser {

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final double REPORT_HALF_LIFE_MS = 500;

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        Vector<EndpointState> candidates = capacity.candidates(group, profile, now);
        if (candidates.isEmpty()) {
            return Option.none();
        }
        if (packLongCalls && profile.sizeClass() == SizeClass.LONG) {
            return candidates.minBy(
                    Comparator.comparingLong(endpoint -> affinityRank(endpoint, 0)));
        }
        EndpointState lessLoadedEndpoint = lessLoadedOfTwo(candidates, now, random);
        if (affinityBound <= 1) {
            return Option.some(lessLoadedEndpoint);
        }
        EndpointState preferredEndpoint =
                candidates
                        .minBy(
                                Comparator.comparingLong(
                                        endpoint -> affinityRank(endpoint, profile.prefixHash())))
                        .get();
        boolean withinBound =
                loadScore(preferredEndpoint, now)
                        <= affinityBound * loadScore(lessLoadedEndpoint, now);
        return Option.some(withinBound ? preferredEndpoint : lessLoadedEndpoint);
    }

    private EndpointState lessLoadedOfTwo(
            Vector<EndpointState> candidates, long now, RandomGenerator random) {
        EndpointState firstEndpoint = candidates.get(random.nextInt(candidates.size()));
        EndpointState secondEndpoint = candidates.get(random.nextInt(candidates.size()));
        return loadScore(firstEndpoint, now) <= loadScore(secondEndpoint, now)
                ? firstEndpoint
                : secondEndpoint;
    }

    private double loadScore(EndpointState endpoint, long now) {
        double localLoad = (endpoint.inFlight() + 1) / Math.max(1, endpoint.limit());
        double reportedLoad =
                endpoint.load()
                        .map(
                                load ->
                                        occupancy(load)
                                                * reportWeight(now - endpoint.loadReportedAt()))
                        .getOrElse(0.0);
        double slownessPenalty =
                capacity.healthAware()
                        ? CapacityRule.penalty(CapacityRule.slownessNow(endpoint, now))
                        : 1;
        return (localLoad + reportedLoad) * slownessPenalty;
    }

    private static double occupancy(EndpointLoad load) {
        return (double) (load.running() + load.queued()) / Math.max(1, load.slots());
    }

    private static double reportWeight(long ageMs) {
        return Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
    }

    private static long affinityRank(EndpointState endpoint, long prefixHash) {
        return HASHER.hashStream().putString(endpoint.name()).putLong(prefixHash).getAsLong();
    }
}
