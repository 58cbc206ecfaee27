package org.sequoiaspindle.core.coordination.policy;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.admission.DeadlineAdmission;
import org.sequoiaspindle.core.coordination.routing.AdaptiveHealth;
import org.sequoiaspindle.core.coordination.routing.AdmissionRule;
import org.sequoiaspindle.core.coordination.routing.CapacityRule;
import org.sequoiaspindle.core.coordination.routing.FairOrder;
import org.sequoiaspindle.core.coordination.routing.FifoOrder;
import org.sequoiaspindle.core.coordination.routing.LeastOutstanding;
import org.sequoiaspindle.core.coordination.routing.NoHealthTracking;
import org.sequoiaspindle.core.coordination.routing.PowerOfTwoChoices;
import org.sequoiaspindle.core.coordination.routing.RoundRobin;
import org.sequoiaspindle.core.coordination.routing.RoutingPolicy;

/**
 * Named routing policies: baselines for comparison, the default policy {@code chosen}, and variants
 * of the default with one of its parts disabled.
 */
public final class RoutingPolicies {

    /** Policy of an instance whose settings do not name one. */
    public static final String DEFAULT = "chosen";

    private static final double LONG_SHARE = 0.5;
    private static final double AFFINITY_BOUND = 1.5;
    private static final AdmissionRule ADMIT_ALL = (group, profile, now) -> Option.none();

    private static final Map<String, Supplier<RoutingPolicy>> BY_NAME =
            LinkedHashMap.<String, Supplier<RoutingPolicy>>empty()
                    .put("naive", RoutingPolicies::naive)
                    .put("leastOutstanding", RoutingPolicies::leastOutstanding)
                    .put(DEFAULT, RoutingPolicies::chosen)
                    .put("chosenWithoutAdmission", () -> chosen().withAdmission(ADMIT_ALL))
                    .put("chosenWithoutHealth", RoutingPolicies::withoutHealth)
                    .put("chosenWithoutLongShare", () -> chooser(1, AFFINITY_BOUND, false, true))
                    .put(
                            "chosenWithoutPacking",
                            () -> chooser(LONG_SHARE, AFFINITY_BOUND, false, true))
                    .put("chosenWithoutAffinity", () -> chooser(LONG_SHARE, 1, true, true))
                    .put("chosenWithoutFairOrder", () -> chosen().withOrder(new FifoOrder()));

    private RoutingPolicies() {}

    /** Returns the policy with the name, or none if there is no such policy. */
    public static Option<RoutingPolicy> named(String name) {
        return BY_NAME.get(name).map(Supplier::get);
    }

    /** Returns the names of all policies. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Round robin, first-in first-out, no admission control. */
    public static RoutingPolicy naive() {
        return new RoutingPolicy(
                new RoundRobin(), new FifoOrder(), new NoHealthTracking(), ADMIT_ALL);
    }

    /** Fewest calls in flight from this instance, first-in first-out, no admission control. */
    public static RoutingPolicy leastOutstanding() {
        return naive().withChooser(new LeastOutstanding());
    }

    /**
     * The default policy: power of two choices with cache affinity, fair queueing, adaptive health
     * and deadline admission.
     */
    public static RoutingPolicy chosen() {
        return chooser(LONG_SHARE, AFFINITY_BOUND, true, true);
    }

    private static RoutingPolicy withoutHealth() {
        return chooser(LONG_SHARE, AFFINITY_BOUND, true, false).withHealth(new NoHealthTracking());
    }

    private static RoutingPolicy chooser(
            double longShare, double affinityBound, boolean packLongCalls, boolean healthAware) {
        return new RoutingPolicy(
                new PowerOfTwoChoices(
                        new CapacityRule(longShare, healthAware), affinityBound, packLongCalls),
                new FairOrder(),
                new AdaptiveHealth(),
                new DeadlineAdmission());
    }
}
