package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Stage;

/**
 * Finds pipelines with several non-idempotent stages. If one of two such stages may have been
 * executed and the other was certainly not executed, a single outcome cannot tell the caller which
 * of the two stages may be repeated.
 */
final class NonIdempotentStageCheck {

    private NonIdempotentStageCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        Set<String> nonIdempotent =
                set.stages().filter(stage -> !stage.idempotent()).map(Stage::name).toSet();
        return ObjectKind.PIPELINES
                .labelled(set)
                .filter(entry -> entry.object().stages().count(nonIdempotent::contains) > 1)
                .map(
                        entry ->
                                problem(
                                        entry.label(),
                                        entry.object().stages().filter(nonIdempotent::contains)));
    }

    private static ValidationProblem problem(String label, Vector<String> stages) {
        return new ValidationProblem(
                "several-non-idempotent-stages",
                ObjectKind.PIPELINES.name(),
                label,
                "stages",
                "has %d non-idempotent stages (%s) but may have one; split the pipeline"
                        .formatted(stages.size(), stages.map(ObjectNames::quoted).mkString(", ")));
    }
}
