package org.sequoiaspindle.core.coordination.policy;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.admission.DeadlineAdmission;
import org.sequoiaspindle.core.coordination.routing.AdaptiveHealth;
import org.sequoiaspindle.core.coordination.routing.AdmissionRule;
import org.sequoiaspindle.core.coordination.routing.FairOrder;
import org.sequoiaspindle.core.coordination.routing.FifoOrder;
import org.sequoiaspindle.core.coordination.routing.LeastOutstanding;
import org.sequoiaspindle.core.coordination.routing.NoLearning;
import org.sequoiaspindle.core.coordination.routing.Policy;
import org.sequoiaspindle.core.coordination.routing.Room;
import org.sequoiaspindle.core.coordination.routing.RoundRobin;
import org.sequoiaspindle.core.coordination.routing.TwoChoices;

/**
 * Named policies: the baselines, the chosen policy, and the chosen one without one of its parts.
 */
public final class Policies {

    /** Policy that an instance uses unless its settings name another. */
    public static final String DEFAULT = "chosen";

    private static final double LONG_SHARE = 0.5;
    private static final double AFFINITY_BOUND = 1.5;
    private static final AdmissionRule ADMIT_ALL = (group, profile, now) -> Option.none();

    private static final Map<String, Supplier<Policy>> BY_NAME =
            LinkedHashMap.<String, Supplier<Policy>>empty()
                    .put("naive", Policies::naive)
                    .put("leastOutstanding", Policies::leastOutstanding)
                    .put(DEFAULT, Policies::chosen)
                    .put("chosenWithoutAdmission", () -> chosen().withAdmission(ADMIT_ALL))
                    .put("chosenWithoutHealth", Policies::withoutHealth)
                    .put("chosenWithoutLongShare", () -> chooser(1, AFFINITY_BOUND, false, true))
                    .put(
                            "chosenWithoutPacking",
                            () -> chooser(LONG_SHARE, AFFINITY_BOUND, false, true))
                    .put("chosenWithoutAffinity", () -> chooser(LONG_SHARE, 1, true, true))
                    .put("chosenWithoutFairOrder", () -> chosen().withOrder(new FifoOrder()));

    private Policies() {}

    /** The policy of a name, none if there is no such policy. */
    public static Option<Policy> named(String name) {
        return BY_NAME.get(name).map(Supplier::get);
    }

    /** All names. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Round robin, first-in first-out, no admission. */
    public static Policy naive() {
        return new Policy(new RoundRobin(), new FifoOrder(), new NoLearning(), ADMIT_ALL);
    }

    /** Fewest own calls in flight, first-in first-out, no admission. */
    public static Policy leastOutstanding() {
        return naive().withChooser(new LeastOutstanding());
    }

    /** The policy that the product uses unless told otherwise. */
    public static Policy chosen() {
        return chooser(LONG_SHARE, AFFINITY_BOUND, true, true);
    }

    private static Policy withoutHealth() {
        return chooser(LONG_SHARE, AFFINITY_BOUND, true, false).withHealth(new NoLearning());
    }

    private static Policy chooser(
            double longShare, double affinityBound, boolean packsLong, boolean heedsHealth) {
        return new Policy(
                new TwoChoices(new Room(longShare, heedsHealth), affinityBound, packsLong),
                new FairOrder(),
                new AdaptiveHealth(),
                new DeadlineAdmission());
    }
}
