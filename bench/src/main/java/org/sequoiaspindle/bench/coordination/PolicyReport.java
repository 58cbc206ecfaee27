package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.sequoiaspindle.bench.state.RunResult;

/** Summarizes repeats of runs. */
public final class PolicyReport {

    private PolicyReport() {}

    /** One table for each scenario: a row for each metric, a column for each variant. */
    public static String markdown(Vector<RunResult> results) {
        return results.map(RunResult::scenario)
                .distinct()
                .map(scenario -> "## " + scenario + "\n\n" + table(ofScenario(results, scenario)))
                .mkString("\n");
    }

    /** Values of a metric by variant, in the order of the variants. */
    public static Map<String, Statistics> byVariant(Vector<RunResult> results, String metric) {
        return results.filter(result -> result.metrics().containsKey(metric))
                .groupBy(RunResult::variant)
                .mapValues(own -> own.map(result -> result.metrics().apply(metric)))
                .mapValues(Statistics::of);
    }

    /** Results of one scenario. */
    public static Vector<RunResult> ofScenario(Vector<RunResult> results, String scenario) {
        return results.filter(result -> result.scenario().equals(scenario));
    }

    private static String table(Vector<RunResult> results) {
        Vector<String> variants = results.map(RunResult::variant).distinct();
        Vector<String> metrics =
                results.flatMap(result -> result.metrics().keySet().toVector()).distinct();
        return MarkdownTable.of(
                variants.prepend("metric"),
                metrics.map(
                        metric -> {
                            Map<String, Statistics> values = byVariant(results, metric);
                            return variants.map(
                                            variant ->
                                                    values.get(variant)
                                                            .map(Statistics::text)
                                                            .getOrElse("-"))
                                    .prepend(metric);
                        }));
    }
}
