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
 * of the default policy with one part disabled.
 */
public final class RoutingPolicies {

    /** Name of the policy of an instance whose settings name no policy. */
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
                    .put("chosenWithoutLongShare", () -> variant(1, AFFINITY_BOUND, false, true))
                    .put(
                            "chosenWithoutPacking",
                            () -> variant(LONG_SHARE, AFFINITY_BOUND, false, true))
                    .put("chosenWithoutAffinity", () -> variant(LONG_SHARE, 1, true, true))
                    .put("chosenWithoutFairOrder", () -> chosen().withOrder(new FifoOrder()));

    private RoutingPolicies() {}

    /** Returns the policy with the given name, or none if no policy has the name. */
    public static Option<RoutingPolicy> find(String name) {
        return BY_NAME.get(name).map(Supplier::get);
    }

    /** Returns the names of all policies. */
    public static Set<String> names() {
        return BY_NAME.keySet();
    }

    /** Returns a policy with round robin, first-in first-out and no admission control. */
    public static RoutingPolicy naive() {
        return new RoutingPolicy(
                new RoundRobin(), new FifoOrder(), new NoHealthTracking(), ADMIT_ALL);
    }

    /**
     * Returns a policy that chooses the endpoint with the fewest calls in flight from this
     * instance, with first-in first-out order and no admission control.
     */
    public static RoutingPolicy leastOutstanding() {
        return naive().withChooser(new LeastOutstanding());
    }

    /**
     * Returns the default policy: power of two choices with cache affinity, fair queueing, adaptive
     * health and deadline admission.
     */
    public static RoutingPolicy chosen() {
        return variant(LONG_SHARE, AFFINITY_BOUND, true, true);
    }

    private static RoutingPolicy withoutHealth() {
        return variant(LONG_SHARE, AFFINITY_BOUND, true, false).withHealth(new NoHealthTracking());
    }

    private static RoutingPolicy variant(
            double maxLongCallShare,
            double affinityBound,
            boolean packLongCalls,
            boolean healthAware) {
        return new RoutingPolicy(
                new PowerOfTwoChoices(
                        new CapacityRule(maxLongCallShare, healthAware),
                        affinityBound,
                        packLongCalls),
                new FairOrder(),
                new AdaptiveHealth(),
                new DeadlineAdmission());
    }
}
