package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.sequoiaspindle.bench.state.RunResult;

/** Summarizes the results of repeated runs as Markdown tables and statistics. */
public final class PolicyReport {

    private PolicyReport() {}

    /** Formats a table per scenario, with a row per metric and a column per variant. */
    public static String markdown(Vector<RunResult> results) {
        return results.map(RunResult::scenario)
                .distinct()
                .map(
                        scenario ->
                                "## "
                                        + scenario
                                        + "\n\n"
                                        + scenarioTable(resultsOf(results, scenario)))
                .mkString("\n");
    }

    /** Returns the statistics of a metric by variant, in the order of the variants. */
    public static Map<String, SummaryStatistics> statisticsByVariant(
            Vector<RunResult> results, String metric) {
        return results.filter(result -> result.metrics().containsKey(metric))
                .groupBy(RunResult::variant)
                .mapValues(
                        variantResults ->
                                variantResults.map(result -> result.metrics().apply(metric)))
                .mapValues(SummaryStatistics::of);
    }

    /** Returns the results of the runs of a scenario. */
    public static Vector<RunResult> resultsOf(Vector<RunResult> results, String scenario) {
        return results.filter(result -> result.scenario().equals(scenario));
    }

    private static String scenarioTable(Vector<RunResult> results) {
        Vector<String> variants = results.map(RunResult::variant).distinct();
        Vector<String> metrics =
                results.flatMap(result -> result.metrics().keySet().toVector()).distinct();
        return MarkdownTable.of(
                variants.prepend("metric"),
                metrics.map(
                        metric -> {
                            Map<String, SummaryStatistics> values =
                                    statisticsByVariant(results, metric);
                            return variants.map(
                                            variant ->
                                                    values.get(variant)
                                                            .map(SummaryStatistics::format)
                                                            .getOrElse("-"))
                                    .prepend(metric);
                        }));
    }
}
