package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import java.util.Comparator;
import org.sequoiaspindle.core.state.ObjectSet;

/** Validates an object set and reports all its problems together. */
public final class ConfigurationChecker {

    private static final Vector<ConfigurationCheck> CHECKS =
            Vector.of(
                    NameCheck::check,
                    DuplicateNameCheck::check,
                    RangeCheck::check,
                    FormatCheck::check,
                    ReferenceCheck::check,
                    OverflowCycleCheck::check,
                    EmptyGroupCheck::check,
                    NonIdempotentStageCheck::check,
                    RuleOrderCheck::check,
                    ContradictoryRuleCheck::check,
                    ShadowedRuleCheck::check);

    private static final Vector<String> KIND_ORDER = ObjectKind.ALL.map(ObjectKind::name);

    private static final Comparator<ValidationProblem> PROBLEM_ORDER =
            Comparator.<ValidationProblem>comparingInt(
                            problem -> KIND_ORDER.indexOf(problem.kind()))
                    .thenComparing(ValidationProblem::objectName)
                    .thenComparing(ValidationProblem::field)
                    .thenComparing(ValidationProblem::code)
                    .thenComparing(ValidationProblem::message);

    private ConfigurationChecker() {}

    /**
     * Returns the problems of the object set, ordered by kind, object and field; an empty result
     * means that the set can be published.
     */
    public static Vector<ValidationProblem> check(ObjectSet set) {
        return CHECKS.flatMap(check -> check.check(set)).sorted(PROBLEM_ORDER);
    }
}
