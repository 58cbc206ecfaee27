package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.Tuple;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds routing rules with the same order, whose precedence would be undefined. */
final class RuleOrderCheck {

    private RuleOrderCheck() {}

    /** Returns one problem for each rule with the order of an earlier rule in the document. */
    static Vector<ValidationProblem> check(ObjectSet set) {
        return ObjectKind.ROUTING_RULES
                .labelled(set)
                .groupBy(entry -> entry.object().order())
                .values()
                .toVector()
                .flatMap(
                        sameOrder ->
                                sameOrder
                                        .tail()
                                        .map(
                                                entry ->
                                                        Tuple.of(
                                                                entry.label(),
                                                                sameOrder.head().label())))
                .map(pair -> problem(pair._1(), pair._2()));
    }

    private static ValidationProblem problem(String label, String firstLabel) {
        return new ValidationProblem(
                "duplicate-order",
                ObjectKind.ROUTING_RULES.name(),
                label,
                "order",
                "rule " + firstLabel + " has the same order; give each rule an order of its own");
    }
}
