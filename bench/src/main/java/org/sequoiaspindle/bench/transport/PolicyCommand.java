package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.coordination.Capacity;
import org.sequoiaspindle.bench.coordination.PolicyReport;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.Json;
import org.sequoiaspindle.bench.state.RunResult;
import org.sequoiaspindle.bench.state.Sizes;

/** Compares policies under scenarios of load and faults, round by round. */
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
        variants = list(parser, "variants", "policies").defaultsTo("naive", "chosen");
        scenarios =
                list(parser, "scenarios", "scenarios of load and faults")
                        .defaultsTo(
                                Vector.of(Scenario.values())
                                        .map(Scenario::label)
                                        .toJavaArray(String[]::new));
        repeats = SizeOptions.whole(parser, "repeats", "runs of each variant and scenario", 3);
        seconds = SizeOptions.decimal(parser, "seconds", "length of a run", 30);
        warmUp = SizeOptions.decimal(parser, "warm-up", "seconds of load before a run", 15);
        seed = SizeOptions.whole(parser, "seed", "seed of the arrivals", 1);
        out = parser.accepts("out", "directory for results and logs").withRequiredArg().required();
        sizes = new SizeOptions(parser);
    }

    static Command.Action declare(OptionParser parser) {
        return new PolicyCommand(parser)::run;
    }

    private void run(OptionSet options) {
        Output output = new Output(Path.of(options.valueOf(out)));
        Sizes chosen = sizes.of(options);
        Vector<Scenario> chosenScenarios =
                Vector.ofAll(options.valuesOf(scenarios)).map(Scenario::named);
        System.out.printf(
                "capacity: %.1f short requests/s, of which %.1f chats/s; reports %.2f/s%n",
                Capacity.shortRate(chosen),
                Capacity.shortRate(chosen) * (1 - chosen.paymentShare()),
                Capacity.reportRate(chosen));
        try (Bench bench = new Bench()) {
            PolicyRun run =
                    new PolicyRun(
                            bench,
                            chosen,
                            options.valueOf(warmUp),
                            options.valueOf(seconds),
                            options.valueOf(seed));
            Vector<RunResult> results = Vector.empty();
            for (int round = 1; round <= options.valueOf(repeats); round++) {
                for (Scenario scenario : chosenScenarios) {
                    for (String variant : options.valuesOf(variants)) {
                        String name = scenario.label() + "-" + variant + "-" + round;
                        Path logs = output.directory().resolve("logs").resolve(name);
                        RunResult result = run.run(scenario, variant, round, logs);
                        System.out.println(line(result));
                        results = results.append(result);
                        write(output, chosen, results);
                    }
                }
            }
            Plots.write(results, output.directory());
        }
    }

    private static String line(RunResult result) {
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

    /** Writes what there is so far, so that an interrupted experiment keeps its finished runs. */
    private static void write(Output output, Sizes sizes, Vector<RunResult> results) {
        ObjectNode root = Json.object().put("sizes", sizes.toString());
        root.put("capacity", Capacity.shortRate(sizes));
        root.put("reportRate", Capacity.reportRate(sizes));
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
        output.json("policy.json", root);
        output.text("policy.md", PolicyReport.markdown(results));
    }

    private static joptsimple.ArgumentAcceptingOptionSpec<String> list(
            OptionParser parser, String name, String text) {
        return parser.accepts(name, text + ", separated by commas")
                .withRequiredArg()
                .withValuesSeparatedBy(',');
    }
}
