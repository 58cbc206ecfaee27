package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.coordination.EngineCapacity;
import org.sequoiaspindle.bench.coordination.PolicyReport;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.BenchJson;
import org.sequoiaspindle.bench.state.RunResult;
import org.sequoiaspindle.bench.state.Sizes;

/** Runs each policy in each scenario several times and compares the metrics. */
final class PolicyCommand {

    private final OptionSpec<String> variants;
    private final OptionSpec<String> scenarios;
    private final OptionSpec<Integer> repeats;
    private final OptionSpec<Double> seconds;
    private final OptionSpec<Double> warmUp;
    private final OptionSpec<Integer> seed;
    private final OptionSpec<String> out;
    private final SizeOptions sizes;

    private PolicyCommand(OptionParser parser) {
        variants = listOption(parser, "variants", "policies").defaultsTo("naive", "chosen");
        scenarios =
                listOption(parser, "scenarios", "scenarios of load and faults")
                        .defaultsTo(
                                Vector.of(Scenario.values())
                                        .map(Scenario::label)
                                        .toJavaArray(String[]::new));
        repeats =
                SizeOptions.integerOption(
                        parser, "repeats", "runs of each variant and scenario", 3);
        seconds = SizeOptions.doubleOption(parser, "seconds", "length of a run in seconds", 30);
        warmUp =
                SizeOptions.doubleOption(
                        parser, "warm-up", "seconds of warm-up load before a run", 15);
        seed = SizeOptions.integerOption(parser, "seed", "seed of the arrivals", 1);
        out = parser.accepts("out", "directory for results and logs").withRequiredArg().required();
        sizes = new SizeOptions(parser);
    }

    static Subcommand.Action declare(OptionParser parser) {
        return new PolicyCommand(parser)::run;
    }

    private void run(OptionSet options) {
        ResultDirectory output = new ResultDirectory(Path.of(options.valueOf(out)));
        Sizes installationSizes = sizes.toSizes(options);
        Vector<Scenario> selectedScenarios =
                Vector.ofAll(options.valuesOf(scenarios)).map(Scenario::withLabel);
        System.out.printf(
                "capacity: %.1f short requests/s, of which %.1f chats/s; reports %.2f/s%n",
                EngineCapacity.shortRequestsPerSecond(installationSizes),
                EngineCapacity.shortRequestsPerSecond(installationSizes)
                        * (1 - installationSizes.paymentShare()),
                EngineCapacity.reportsPerSecond(installationSizes));
        try (BenchContext bench = new BenchContext()) {
            PolicyRun run =
                    new PolicyRun(
                            bench,
                            installationSizes,
                            options.valueOf(warmUp),
                            options.valueOf(seconds),
                            options.valueOf(seed));
            Vector<RunResult> results = Vector.empty();
            for (int round = 1; round <= options.valueOf(repeats); round++) {
                for (Scenario scenario : selectedScenarios) {
                    for (String variant : options.valuesOf(variants)) {
                        String name = scenario.label() + "-" + variant + "-" + round;
                        Path logs = output.directory().resolve("logs").resolve(name);
                        RunResult result = run.run(scenario, variant, round, logs);
                        System.out.println(toLine(result));
                        results = results.append(result);
                        writeResults(output, installationSizes, results);
                    }
                }
            }
            BarCharts.write(results, output.directory());
        }
    }

    private static String toLine(RunResult result) {
        return result.scenario()
                + " "
                + result.variant()
                + " "
                + result.round()
                + ": "
                + result.metrics()
                        .filterValues(value -> value != 0)
                        .map(metric -> "%s=%.4g".formatted(metric._1, metric._2))
                        .mkString(" ");
    }

    /** Writes the results of all finished runs, so that an interrupted experiment keeps them. */
    private static void writeResults(
            ResultDirectory output, Sizes sizes, Vector<RunResult> results) {
        ObjectNode root = BenchJson.object().put("sizes", sizes.toString());
        root.put("capacity", EngineCapacity.shortRequestsPerSecond(sizes));
        root.put("reportRate", EngineCapacity.reportsPerSecond(sizes));
        ArrayNode runs = root.putArray("runs");
        for (RunResult result : results) {
            ObjectNode node =
                    runs.addObject()
                            .put("scenario", result.scenario())
                            .put("variant", result.variant())
                            .put("round", result.round());
            ObjectNode metrics = node.putObject("metrics");
            result.metrics().forEach(metrics::put);
        }
        output.writeJson("policy.json", root);
        output.writeText("policy.md", PolicyReport.markdown(results));
    }

    private static joptsimple.ArgumentAcceptingOptionSpec<String> listOption(
            OptionParser parser, String name, String description) {
        return parser.accepts(name, description + ", separated by commas")
                .withRequiredArg()
                .withValuesSeparatedBy(',');
    }
}
