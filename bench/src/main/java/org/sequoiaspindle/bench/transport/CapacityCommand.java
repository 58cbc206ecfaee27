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
import org.sequoiaspindle.bench.coordination.Statistics;
import org.sequoiaspindle.bench.protocol.Json;

/** Measures how the cost of control grows with the object set and with the instances. */
final class CapacityCommand {

    private static final int ENDPOINTS = 100;
    private static final int ORGANISATIONS = 10;
    private static final int INSTANCES = 4;
    private static final int CHANGES = 5;
    private static final long SETTLE_MS = 3000;
    private static final double MS_PER_SECOND = 1000;
    private static final double PERCENT = 100;

    private final OptionSpec<Integer> endpoints;
    private final OptionSpec<Integer> organisations;
    private final OptionSpec<Integer> instances;
    private final OptionSpec<String> vary;
    private final OptionSpec<Double> seconds;
    private final OptionSpec<String> out;

    private CapacityCommand(OptionParser parser) {
        endpoints = numbers(parser, "endpoints", 100, 400, 1600, 6400);
        organisations = numbers(parser, "organisations", 10, 100, 920);
        instances = numbers(parser, "instances", 2, 4, 8, 12);
        vary =
                SizeOptions.text(parser, "vary", "what is varied, separated by commas")
                        .withValuesSeparatedBy(',')
                        .defaultsTo("endpoints", "organisations", "instances");
        seconds = SizeOptions.decimal(parser, "seconds", "time at rest of each point", 20);
        out = SizeOptions.text(parser, "out", "directory for results and logs").required();
    }

    static Command.Action declare(OptionParser parser) {
        return new CapacityCommand(parser)::run;
    }

    private void run(OptionSet options) {
        Output output = new Output(Path.of(options.valueOf(out)));
        Map<String, Tuple2<OptionSpec<Integer>, IntFunction<ControlInstallation.Sizes>>> varied =
                LinkedHashMap.of(
                        "endpoints",
                        new Tuple2<>(endpoints, n -> sizes(INSTANCES, n, ORGANISATIONS)),
                        "organisations",
                        new Tuple2<>(organisations, n -> sizes(INSTANCES, ENDPOINTS, n)),
                        "instances",
                        new Tuple2<>(instances, n -> sizes(n, ENDPOINTS, ORGANISATIONS)));
        ObjectNode result = Json.object();
        try (Bench bench = new Bench()) {
            for (String name : options.valuesOf(vary)) {
                var axis =
                        varied.get(name)
                                .getOrElseThrow(
                                        () ->
                                                new IllegalArgumentException(
                                                        name + " cannot be varied"));
                Vector<Tuple2<Integer, Map<String, Double>>> points = Vector.empty();
                for (int size : options.valuesOf(axis._1)) {
                    Path logs = output.directory().resolve("capacity-logs").resolve(name + size);
                    Map<String, Double> point =
                            measure(bench, axis._2.apply(size), options.valueOf(seconds), logs);
                    System.out.println(name + " " + size + ": " + point.mkString(" "));
                    points = points.append(new Tuple2<>(size, point));
                }
                result.set(name, report(name, points));
                output.json("capacity.json", result);
            }
        }
    }

    private static ControlInstallation.Sizes sizes(
            int instances, int endpoints, int organisations) {
        return new ControlInstallation.Sizes(instances, 1, endpoints, organisations);
    }

    private static Map<String, Double> measure(
            Bench bench, ControlInstallation.Sizes sizes, double seconds, Path logs) {
        try (ControlInstallation installation = ControlInstallation.start(bench, sizes, logs)) {
            Pause.millis(bench.scheduler(), SETTLE_MS);
            double bytes = installation.controlBytes();
            double cpuMs = installation.cpuMs();
            Pause.millis(bench.scheduler(), (long) (seconds * MS_PER_SECOND));
            double cpu = installation.cpuMs() - cpuMs;
            double perInstanceSecond = seconds * sizes.instances();
            double traffic = (installation.controlBytes() - bytes) / perInstanceSecond;
            Statistics adoption =
                    Statistics.of(
                            Vector.range(0, CHANGES)
                                    .map(index -> installation.change())
                                    .map(change -> change.acceptedMs() + change.lastMs()));
            Vector<Long> parts = installation.partBytes();
            return LinkedHashMap.of(
                            "cpuPercent",
                            cpu / (perInstanceSecond * MS_PER_SECOND) * PERCENT,
                            "rssMb",
                            installation.rssMb(),
                            "liveHeapMb",
                            installation.liveHeapMb(),
                            "controlBytesPerSecond",
                            traffic,
                            "adoptionMs",
                            adoption.median())
                    .put("headBytes", (double) installation.headBytes())
                    .put("partBytes", parts.sum().doubleValue())
                    .put("largestPartBytes", (double) parts.max().getOrElse(0L));
        }
    }

    private static ObjectNode report(
            String name, Vector<Tuple2<Integer, Map<String, Double>>> points) {
        ObjectNode node = Json.object();
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

    private static ArgumentAcceptingOptionSpec<Integer> numbers(
            OptionParser parser, String name, Integer... values) {
        return parser.accepts(name, "sizes to measure, separated by commas")
                .withRequiredArg()
                .ofType(Integer.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(values);
    }
}
