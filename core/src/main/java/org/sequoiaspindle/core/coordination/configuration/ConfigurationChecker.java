package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import java.util.Comparator;
import org.sequoiaspindle.core.state.ObjectSet;

/** Decides whether an object set is consistent, and reports all its problems at once. */
public final class ConfigurationChecker {

    private static final Vector<ConfigurationCheck> CHECKS =
            Vector.of(
                    NameCheck::check,
                    DuplicateNameCheck::check,
                    RangeCheck::check,
                    FormCheck::check,
                    ReferenceCheck::check,
                    OverflowCycleCheck::check,
                    EmptyGroupCheck::check,
                    NonIdempotentStageCheck::check,
                    RuleOrderCheck::check,
                    ContradictoryRuleCheck::check,
                    ShadowedRuleCheck::check);

    private static final Vector<String> KIND_ORDER = ObjectKind.ALL.map(ObjectKind::name);

    private static final Comparator<Problem> ORDER =
            Comparator.<Problem>comparingInt(problem -> KIND_ORDER.indexOf(problem.kind()))
                    .thenComparing(Problem::object)
                    .thenComparing(Problem::field)
                    .thenComparing(Problem::code)
                    .thenComparing(Problem::message);

    private ConfigurationChecker() {}

    /** Problems of the set ordered by kind, object and field; empty if it can be published. */
    public static Vector<Problem> check(ObjectSet set) {
        return CHECKS.flatMap(check -> check.check(set)).sorted(ORDER);
    }
}
