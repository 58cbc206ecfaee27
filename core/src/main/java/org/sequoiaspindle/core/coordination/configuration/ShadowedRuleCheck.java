package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind.Labelled;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.RoutingRule;

/**
 * Finds routing rules that never apply because a rule with a lower order matches all their calls.
 */
final class ShadowedRuleCheck {

    private ShadowedRuleCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        Vector<Labelled<RoutingRule>> rules = ObjectKind.ROUTING_RULES.labelled(set);
        return rules.flatMap(
                rule ->
                        rules.find(earlier -> shadows(earlier.object(), rule.object()))
                                .map(earlier -> problem(rule.label(), earlier)));
    }

    private static boolean shadows(RoutingRule earlier, RoutingRule later) {
        return earlier.order() < later.order()
                && earlier.covers(later)
                && !contradicts(earlier, later);
    }

    /**
     * Contradictory rules are reported by {@link ContradictoryRuleCheck} and are not reported again
     * here.
     */
    private static boolean contradicts(RoutingRule earlier, RoutingRule later) {
        return RuleConditions.of(earlier).equals(RuleConditions.of(later))
                && !earlier.endpointGroup().equals(later.endpointGroup());
    }

    private static ValidationProblem problem(String label, Labelled<RoutingRule> earlier) {
        return new ValidationProblem(
                "shadowed-rule",
                ObjectKind.ROUTING_RULES.name(),
                label,
                "order",
                "never applies: rule %s of order %d matches all its calls; give this rule a lower"
                                .formatted(earlier.label(), earlier.object().order())
                        + " order or remove it");
    }
}
