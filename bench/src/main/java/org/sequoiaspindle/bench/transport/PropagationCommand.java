package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.coordination.Statistics;
import org.sequoiaspindle.bench.protocol.Json;

/** Measures how fast a change is in force everywhere and what the control traffic costs. */
final class PropagationCommand {

    private static final int DATA_CENTRES = 3;
    private static final int ORGANISATIONS = 10;
    private static final long SETTLE_MS = 5000;
    private static final double MS_PER_SECOND = 1000;
    private static final double PERCENT = 100;

    private final OptionSpec<Integer> instances;
    private final OptionSpec<Integer> changes;
    private final OptionSpec<Integer> endpoints;
    private final OptionSpec<Double> restSeconds;
    private final OptionSpec<Double> gapSeconds;
    private final OptionSpec<String> out;

    private PropagationCommand(OptionParser parser) {
        instances = SizeOptions.whole(parser, "instances", "in three data centres", 8);
        changes = SizeOptions.whole(parser, "changes", "publications, one after the other", 20);
        endpoints = SizeOptions.whole(parser, "endpoints", "in the object set", 100);
        restSeconds = SizeOptions.decimal(parser, "rest-seconds", "time without a change", 20);
        gapSeconds = SizeOptions.decimal(parser, "gap-seconds", "between changes", 1);
        out = SizeOptions.text(parser, "out", "directory for results and logs").required();
    }

    static Command.Action declare(OptionParser parser) {
        return new PropagationCommand(parser)::run;
    }

    private void run(OptionSet options) {
        Output output = new Output(Path.of(options.valueOf(out)));
        ControlInstallation.Sizes sizes =
                new ControlInstallation.Sizes(
                        options.valueOf(instances),
                        DATA_CENTRES,
                        options.valueOf(endpoints),
                        ORGANISATIONS);
        try (Bench bench = new Bench();
                ControlInstallation installation =
                        ControlInstallation.start(
                                bench, sizes, output.directory().resolve("propagation-logs"))) {
            Pause.millis(bench.scheduler(), SETTLE_MS);
            ObjectNode result = Json.object().put("sizes", sizes.toString());
            double restCalls = rest(bench, installation, options.valueOf(restSeconds), result);
            changes(bench, installation, options, restCalls, result);
            output.json("propagation.json", result);
            System.out.println(Json.pretty(result));
        }
    }

    /** Measures the time without a change and returns the store calls per second. */
    private static double rest(
            Bench bench, ControlInstallation installation, double seconds, ObjectNode result) {
        Map<String, Long> before = installation.storeCalls();
        double bytes = installation.controlBytes();
        double cpuMs = installation.cpuMs();
        Pause.millis(bench.scheduler(), (long) (seconds * MS_PER_SECOND));
        double count = installation.instances().size();
        double cpu = (installation.cpuMs() - cpuMs) / (seconds * MS_PER_SECOND) / count;
        ObjectNode rest = result.putObject("atRest");
        ObjectNode calls = rest.putObject("storeCallsPerSecond");
        Map<String, Long> after = installation.storeCalls();
        after.forEach(
                (kind, value) -> calls.put(kind, (value - before.getOrElse(kind, 0L)) / seconds));
        rest.put("cpuPercentOfCorePerInstance", cpu * PERCENT)
                .put(
                        "controlBytesPerSecondPerInstance",
                        (installation.controlBytes() - bytes) / seconds / count)
                .put("rssMbPerInstance", installation.rssMb())
                .put("liveHeapMbOfFirst", installation.liveHeapMb());
        return (total(after) - total(before)) / seconds;
    }

    private void changes(
            Bench bench,
            ControlInstallation installation,
            OptionSet options,
            double restCallsPerSecond,
            ObjectNode result) {
        long gapMs = (long) (options.valueOf(gapSeconds) * MS_PER_SECOND);
        double callsBefore = total(installation.storeCalls());
        long start = System.nanoTime();
        Vector<ControlInstallation.Change> measured = Vector.empty();
        for (int change = 0; change < options.valueOf(changes); change++) {
            measured = measured.append(installation.change());
            Pause.millis(bench.scheduler(), gapMs);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        double calls = total(installation.storeCalls()) - callsBefore;
        ObjectNode node = result.putObject("changes").put("count", measured.size());
        put(node, "publicationMs", measured.map(ControlInstallation.Change::acceptedMs));
        put(node, "acceptedToLastInstanceMs", measured.map(ControlInstallation.Change::lastMs));
        node.put("storeCallsPerChange", (calls - restCallsPerSecond * seconds) / measured.size());
        node.put("headBytes", installation.headBytes());
        ArrayNode parts = node.putArray("partBytes");
        installation.partBytes().forEach(parts::add);
    }

    private static void put(ObjectNode node, String name, Vector<Double> values) {
        Statistics statistics = Statistics.of(values);
        node.putObject(name)
                .put("median", statistics.median())
                .put("min", statistics.min())
                .put("worst", statistics.max());
    }

    private static double total(Map<String, Long> calls) {
        return calls.values().sum().doubleValue();
    }
}
