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
import org.sequoiaspindle.bench.coordination.SummaryStatistics;
import org.sequoiaspindle.bench.state.RunResult;

/** Draws bar charts of policy runs. Each scenario has a group of bars, each variant a bar. */
final class BarCharts {

    private static final int WIDTH_PX = 1000;
    private static final int HEIGHT_PX = 500;
    private static final Vector<String> METRICS =
            Vector.of(
                    "chat.attainment",
                    "chat.windowAttainment",
                    "chat.p99Ms",
                    "payment.attainment",
                    "windowGoodput",
                    "wastedWork",
                    "extraAttemptsMost");

    private BarCharts() {}

    /** Writes a PNG file for each of the main metrics. */
    static void write(Vector<RunResult> results, Path directory) {
        METRICS.forEach(metric -> write(results, metric, directory));
    }

    private static void write(Vector<RunResult> results, String metric, Path directory) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PX)
                        .height(HEIGHT_PX)
                        .title(metric + ", median, error bars half the range of the repeats")
                        .xAxisTitle("scenario")
                        .yAxisTitle(metric)
                        .build();
        Vector<String> scenarios = results.map(RunResult::scenario).distinct();
        Vector<Map<String, SummaryStatistics>> statisticsByScenario =
                scenarios.map(
                        scenario ->
                                PolicyReport.statisticsByVariant(
                                        PolicyReport.resultsOf(results, scenario), metric));
        SummaryStatistics zeroStatistics = new SummaryStatistics(0, 0, 0);
        for (String variant : results.map(RunResult::variant).distinct()) {
            Vector<SummaryStatistics> statistics =
                    statisticsByScenario.map(map -> map.getOrElse(variant, zeroStatistics));
            chart.addSeries(
                    variant,
                    scenarios.asJava(),
                    statistics.map(SummaryStatistics::median).asJava(),
                    statistics.map(bar -> (bar.max() - bar.min()) / 2).asJava());
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
