package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import java.util.function.ToIntFunction;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/** Finds numbers and list lengths outside their allowed range. */
final class RangeCheck {

    private static final int HOUR_MS = 3_600_000;

    private static final Vector<Range<?>> RANGES =
            Vector.of(
                    new Range<>(
                            ObjectKind.ORGANISATIONS, "weight", Organisation::weight, 1, 1000, ""),
                    new Range<>(
                            ObjectKind.ORGANISATIONS,
                            "maxConcurrent",
                            Organisation::maxConcurrent,
                            1,
                            100_000,
                            " requests"),
                    new Range<>(ObjectKind.ENDPOINTS, "slots", Endpoint::slots, 1, 4096, " calls"),
                    new Range<>(
                            ObjectKind.STAGES, "expectedMs", Stage::expectedMs, 1, HOUR_MS, " ms"),
                    new Range<>(
                            ObjectKind.STAGES,
                            "longOverTokens",
                            Stage::longOverTokens,
                            1,
                            10_000_000,
                            " tokens"),
                    new Range<>(
                            ObjectKind.PIPELINES,
                            "deadlineMs",
                            Pipeline::deadlineMs,
                            1,
                            HOUR_MS,
                            " ms"),
                    new Range<>(
                            ObjectKind.PIPELINES,
                            "stages",
                            (Pipeline pipeline) -> pipeline.stages().size(),
                            1,
                            16,
                            " stages"),
                    new Range<>(
                            ObjectKind.ROUTING_RULES,
                            "order",
                            RoutingRule::order,
                            0,
                            1_000_000,
                            ""));

    private RangeCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        return RANGES.flatMap(range -> range.problems(set));
    }

    private record Range<T extends NamedObject>(
            ObjectKind<T> kind,
            String field,
            ToIntFunction<T> value,
            int min,
            int max,
            String unit) {

        Vector<ValidationProblem> problems(ObjectSet set) {
            return kind.labelled(set)
                    .filter(entry -> !contains(value.applyAsInt(entry.object())))
                    .map(entry -> problem(entry.label(), value.applyAsInt(entry.object())));
        }

        private boolean contains(int number) {
            return number >= min && number <= max;
        }

        private ValidationProblem problem(String label, int number) {
            String message = "%d is out of range; use %d to %d%s".formatted(number, min, max, unit);
            return new ValidationProblem("out-of-range", kind.name(), label, field, message);
        }
    }
}
