package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import java.util.function.IntFunction;
import joptsimple.ArgumentAcceptingOptionSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.coordination.LinearFit;
import org.sequoiaspindle.bench.coordination.MarkdownTable;
import org.sequoiaspindle.bench.coordination.SummaryStatistics;
import org.sequoiaspindle.bench.protocol.BenchJson;

/** Measures how the costs of the control plane grow with the number of objects and of instances. */
final class CapacityCommand {

    private static final int DEFAULT_ENDPOINTS = 100;
    private static final int DEFAULT_ORGANISATIONS = 10;
    private static final int DEFAULT_INSTANCES = 4;
    private static final int MEASURED_CHANGES = 5;
    private static final long SETTLING_MS = 3000;
    private static final double MS_PER_SECOND = 1000;
    private static final double PERCENT = 100;

    private final OptionSpec<Integer> endpoints;
    private final OptionSpec<Integer> organisations;
    private final OptionSpec<Integer> instances;
    private final OptionSpec<String> vary;
    private final OptionSpec<Double> seconds;
    private final OptionSpec<String> out;

    private CapacityCommand(OptionParser parser) {
        endpoints = sizesOption(parser, "endpoints", 100, 400, 1600, 6400);
        organisations = sizesOption(parser, "organisations", 10, 100, 920);
        instances = sizesOption(parser, "instances", 2, 4, 8, 12);
        vary =
                SizeOptions.stringOption(parser, "vary", "dimensions to vary, separated by commas")
                        .withValuesSeparatedBy(',')
                        .defaultsTo("endpoints", "organisations", "instances");
        seconds =
                SizeOptions.doubleOption(
                        parser, "seconds", "seconds without changes per data point", 20);
        out = SizeOptions.stringOption(parser, "out", "directory for results and logs").required();
    }

    static Subcommand.Action declare(OptionParser parser) {
        return new CapacityCommand(parser)::run;
    }

    private void run(OptionSet options) {
        ResultDirectory output = new ResultDirectory(Path.of(options.valueOf(out)));
        Map<String, Tuple2<OptionSpec<Integer>, IntFunction<ControlPlaneInstallation.Sizes>>>
                dimensions =
                        LinkedHashMap.of(
                                "endpoints",
                                new Tuple2<>(
                                        endpoints,
                                        n -> sizes(DEFAULT_INSTANCES, n, DEFAULT_ORGANISATIONS)),
                                "organisations",
                                new Tuple2<>(
                                        organisations,
                                        n -> sizes(DEFAULT_INSTANCES, DEFAULT_ENDPOINTS, n)),
                                "instances",
                                new Tuple2<>(
                                        instances,
                                        n -> sizes(n, DEFAULT_ENDPOINTS, DEFAULT_ORGANISATIONS)));
        ObjectNode result = BenchJson.object();
        try (BenchContext bench = new BenchContext()) {
            for (String name : options.valuesOf(vary)) {
                var dimension =
                        dimensions
                                .get(name)
                                .getOrElseThrow(
                                        () ->
                                                new IllegalArgumentException(
                                                        name + " cannot be varied"));
                Vector<Tuple2<Integer, Map<String, Double>>> points = Vector.empty();
                for (int size : options.valuesOf(dimension._1)) {
                    Path logs = output.directory().resolve("capacity-logs").resolve(name + size);
                    Map<String, Double> point =
                            measure(
                                    bench,
                                    dimension._2.apply(size),
                                    options.valueOf(seconds),
                                    logs);
                    System.out.println(name + " " + size + ": " + point.mkString(" "));
                    points = points.append(new Tuple2<>(size, point));
                }
                result.set(name, reportDimension(name, points));
                output.writeJson("capacity.json", result);
            }
        }
    }

    private static ControlPlaneInstallation.Sizes sizes(
            int instances, int endpoints, int organisations) {
        return new ControlPlaneInstallation.Sizes(instances, 1, endpoints, organisations);
    }

    private static Map<String, Double> measure(
            BenchContext bench, ControlPlaneInstallation.Sizes sizes, double seconds, Path logs) {
        try (ControlPlaneInstallation installation =
                ControlPlaneInstallation.start(bench, sizes, logs)) {
            TimedWait.delayMillis(bench.scheduler(), SETTLING_MS);
            double bytesBefore = installation.controlBytes();
            double cpuMsBefore = installation.cpuMs();
            TimedWait.delayMillis(bench.scheduler(), (long) (seconds * MS_PER_SECOND));
            double cpuMs = installation.cpuMs() - cpuMsBefore;
            double instanceSeconds = seconds * sizes.instances();
            double bytesPerSecond = (installation.controlBytes() - bytesBefore) / instanceSeconds;
            SummaryStatistics adoption =
                    SummaryStatistics.of(
                            Vector.range(0, MEASURED_CHANGES)
                                    .map(index -> installation.publishChange())
                                    .map(
                                            change ->
                                                    change.publicationMs()
                                                            + change.acceptedToLastInstanceMs()));
            Vector<Long> parts = installation.partBytes();
            return LinkedHashMap.of(
                            "cpuPercent",
                            cpuMs / (instanceSeconds * MS_PER_SECOND) * PERCENT,
                            // Keys with Mb in their name hold values in MiB.
                            "rssMb",
                            installation.rssMib(),
                            "liveHeapMb",
                            installation.liveHeapMib(),
                            "controlBytesPerSecond",
                            bytesPerSecond,
                            "adoptionMs",
                            adoption.median())
                    .put("headBytes", (double) installation.headBytes())
                    .put("partBytes", parts.sum().doubleValue())
                    .put("largestPartBytes", (double) parts.max().getOrElse(0L));
        }
    }

    /** Prints the linear fits of a dimension. Returns the data points and the fits as JSON. */
    private static ObjectNode reportDimension(
            String name, Vector<Tuple2<Integer, Map<String, Double>>> points) {
        ObjectNode node = BenchJson.object();
        Vector<Vector<String>> rows = Vector.empty();
        for (String metric : points.head()._2.keySet()) {
            Vector<Tuple2<Double, Double>> values =
                    points.map(point -> new Tuple2<>((double) point._1, point._2.apply(metric)));
            ObjectNode entry = node.putObject(metric);
            values.forEach(value -> entry.put(Integer.toString(value._1.intValue()), value._2));
            if (values.size() < 2) {
                continue;
            }
            LinearFit fit = LinearFit.of(values);
            entry.put("slope", fit.slope()).put("intercept", fit.intercept()).put("r2", fit.r2());
            rows =
                    rows.append(
                            Vector.of(
                                    metric,
                                    "%.6g".formatted(fit.slope()),
                                    "%.6g".formatted(fit.intercept()),
                                    "%.4f".formatted(fit.r2())));
        }
        System.out.print(
                MarkdownTable.of(Vector.of("by " + name, "slope", "intercept", "R^2"), rows));
        return node;
    }

    private static ArgumentAcceptingOptionSpec<Integer> sizesOption(
            OptionParser parser, String name, Integer... values) {
        return parser.accepts(name, "sizes to measure, separated by commas")
                .withRequiredArg()
                .ofType(Integer.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(values);
    }
}
