package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.sequoiaspindle.bench.coordination.PolicyReport;
import org.sequoiaspindle.bench.coordination.Statistics;
import org.sequoiaspindle.bench.state.RunResult;

/** Draws bar charts of policy runs: a group of bars for each scenario, a bar for each variant. */
final class Plots {

    private static final int WIDTH = 1000;
    private static final int HEIGHT = 500;
    private static final Vector<String> METRICS =
            Vector.of(
                    "chat.attainment",
                    "chat.windowAttainment",
                    "chat.p99Ms",
                    "payment.attainment",
                    "windowGoodput",
                    "wastedWork",
                    "extraAttemptsMost");

    private Plots() {}

    /** Writes a PNG for each main metric. */
    static void write(Vector<RunResult> results, Path directory) {
        METRICS.forEach(metric -> write(results, metric, directory));
    }

    private static void write(Vector<RunResult> results, String metric, Path directory) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(metric + ", median, error bars half the range of the repeats")
                        .xAxisTitle("scenario")
                        .yAxisTitle(metric)
                        .build();
        Vector<String> scenarios = results.map(RunResult::scenario).distinct();
        Vector<Map<String, Statistics>> values =
                scenarios.map(
                        scenario ->
                                PolicyReport.byVariant(
                                        PolicyReport.ofScenario(results, scenario), metric));
        Statistics none = new Statistics(0, 0, 0);
        for (String variant : results.map(RunResult::variant).distinct()) {
            Vector<Statistics> bars = values.map(map -> map.getOrElse(variant, none));
            chart.addSeries(
                    variant,
                    scenarios.asJava(),
                    bars.map(Statistics::median).asJava(),
                    bars.map(bar -> (bar.max() - bar.min()) / 2).asJava());
        }
        try {
            BitmapEncoder.saveBitmap(
                    chart,
                    directory.resolve(metric + ".png").toString(),
                    BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
