package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind.Labelled;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.RoutingRule;

/** Finds routing rules that match the same calls but send them to different groups. */
final class ContradictoryRuleCheck {

    private ContradictoryRuleCheck() {}

    /**
     * Returns one problem for each rule that contradicts the first rule with the same conditions.
     */
    static Vector<ValidationProblem> check(ObjectSet set) {
        return ObjectKind.ROUTING_RULES
                .labelled(set)
                .sortBy(entry -> entry.object().order())
                .groupBy(entry -> RuleConditions.of(entry.object()))
                .values()
                .toVector()
                .flatMap(ContradictoryRuleCheck::contradictions);
    }

    private static Vector<ValidationProblem> contradictions(
            Vector<Labelled<RoutingRule>> sameConditions) {
        Labelled<RoutingRule> firstRule = sameConditions.head();
        return sameConditions
                .tail()
                .filter(
                        entry ->
                                !entry.object()
                                        .endpointGroup()
                                        .equals(firstRule.object().endpointGroup()))
                .map(entry -> problem(entry.label(), firstRule));
    }

    private static ValidationProblem problem(String label, Labelled<RoutingRule> firstRule) {
        return new ValidationProblem(
                "contradictory-rule",
                ObjectKind.ROUTING_RULES.name(),
                label,
                "endpointGroup",
                "rule %s matches the same calls and sends them to %s; keep one of the two"
                        .formatted(
                                firstRule.label(),
                                ObjectNames.quoted(firstRule.object().endpointGroup())));
    }
}
