package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.Tuple;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds routing rules with the same order, between which the choice would be arbitrary. */
final class RuleOrderCheck {

    private RuleOrderCheck() {}

    /** One problem for each rule whose order an earlier rule of the document has. */
    static Vector<Problem> check(ObjectSet set) {
        return ObjectKind.ROUTING_RULES
                .labelled(set)
                .groupBy(entry -> entry.object().order())
                .values()
                .toVector()
                .flatMap(
                        same ->
                                same.tail()
                                        .map(entry -> Tuple.of(entry.label(), same.head().label())))
                .map(pair -> problem(pair._1(), pair._2()));
    }

    private static Problem problem(String label, String first) {
        return new Problem(
                "duplicate-order",
                ObjectKind.ROUTING_RULES.name(),
                label,
                "order",
                "rule " + first + " has the same order; give each rule an order of its own");
    }
}
