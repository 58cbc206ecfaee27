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
 * The better of two random endpoints (Mitzenmacher, 2001), so that instances with equal information
 * do not all take the same one. An endpoint that probably caches the prompt prefix is preferred
 * within a bound on imbalance.
 *
 * @param room tells which endpoints have room
 * @param affinityBound how much higher the score of the preferred endpoint may be; 1 for no
 *     preference
 * @param packsLong whether long calls fill endpoints in one order that all instances share, which
 *     leaves the others free for short calls
 */
public record TwoChoices(Room room, double affinityBound, boolean packsLong)
        implements EndpointChooser {

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final double REPORT_HALF_LIFE_MS = 500;

    @Override
    public Option<EndpointState> choose(
            GroupState group, CallProfile profile, long now, RandomGenerator random) {
        Vector<EndpointState> candidates = room.candidates(group, profile, now);
        if (candidates.isEmpty()) {
            return Option.none();
        }
        if (packsLong && profile.sizeClass() == SizeClass.LONG) {
            return candidates.minBy(Comparator.comparingLong(endpoint -> rank(endpoint, 0)));
        }
        EndpointState best = betterOfTwo(candidates, now, random);
        if (affinityBound <= 1) {
            return Option.some(best);
        }
        EndpointState preferred =
                candidates
                        .minBy(
                                Comparator.comparingLong(
                                        endpoint -> rank(endpoint, profile.affinity())))
                        .get();
        boolean balanced = score(preferred, now) <= affinityBound * score(best, now);
        return Option.some(balanced ? preferred : best);
    }

    private EndpointState betterOfTwo(
            Vector<EndpointState> candidates, long now, RandomGenerator random) {
        EndpointState one = candidates.get(random.nextInt(candidates.size()));
        EndpointState other = candidates.get(random.nextInt(candidates.size()));
        return score(one, now) <= score(other, now) ? one : other;
    }

    private double score(EndpointState endpoint, long now) {
        double own = (endpoint.inFlight() + 1) / Math.max(1, endpoint.limit());
        double reported =
                endpoint.load()
                        .map(load -> occupancy(load) * weight(now - endpoint.loadAt()))
                        .getOrElse(0.0);
        double slowness = room.heedsHealth() ? Room.penalty(Room.slownessNow(endpoint, now)) : 1;
        return (own + reported) * slowness;
    }

    private static double occupancy(EndpointLoad load) {
        return (double) (load.running() + load.queued()) / Math.max(1, load.slots());
    }

    private static double weight(long ageMs) {
        return Math.pow(0.5, ageMs / REPORT_HALF_LIFE_MS);
    }

    private static long rank(EndpointState endpoint, long affinity) {
        return HASHER.hashStream().putString(endpoint.name()).putLong(affinity).getAsLong();
    }
}
