package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.bench.coordination.SummaryStatistics;
import org.sequoiaspindle.bench.protocol.BenchJson;

/** Measures the propagation time of configuration changes and the cost of control traffic. */
final class PropagationCommand {

    private static final int DATA_CENTRES = 3;
    private static final int ORGANISATIONS = 10;
    private static final long SETTLING_MS = 5000;
    private static final double MS_PER_SECOND = 1000;
    private static final double PERCENT = 100;

    private final OptionSpec<Integer> instances;
    private final OptionSpec<Integer> changes;
    private final OptionSpec<Integer> endpoints;
    private final OptionSpec<Double> restSeconds;
    private final OptionSpec<Double> gapSeconds;
    private final OptionSpec<String> out;

    private PropagationCommand(OptionParser parser) {
        instances =
                SizeOptions.integerOption(
                        parser, "instances", "number of instances, in three data centres", 8);
        changes =
                SizeOptions.integerOption(
                        parser, "changes", "number of consecutive publications", 20);
        endpoints =
                SizeOptions.integerOption(
                        parser, "endpoints", "number of endpoints in the object set", 100);
        restSeconds =
                SizeOptions.doubleOption(parser, "rest-seconds", "seconds without changes", 20);
        gapSeconds = SizeOptions.doubleOption(parser, "gap-seconds", "seconds between changes", 1);
        out = SizeOptions.stringOption(parser, "out", "directory for results and logs").required();
    }

    static Subcommand.Action declare(OptionParser parser) {
        return new PropagationCommand(parser)::run;
    }

    private void run(OptionSet options) {
        ResultDirectory output = new ResultDirectory(Path.of(options.valueOf(out)));
        ControlPlaneInstallation.Sizes sizes =
                new ControlPlaneInstallation.Sizes(
                        options.valueOf(instances),
                        DATA_CENTRES,
                        options.valueOf(endpoints),
                        ORGANISATIONS);
        try (BenchContext bench = new BenchContext();
                ControlPlaneInstallation installation =
                        ControlPlaneInstallation.start(
                                bench, sizes, output.directory().resolve("propagation-logs"))) {
            TimedWait.delayMillis(bench.scheduler(), SETTLING_MS);
            ObjectNode result = BenchJson.object().put("sizes", sizes.toString());
            double callsPerSecondAtRest =
                    measureAtRest(bench, installation, options.valueOf(restSeconds), result);
            measureChanges(bench, installation, options, callsPerSecondAtRest, result);
            output.writeJson("propagation.json", result);
            System.out.println(BenchJson.pretty(result));
        }
    }

    /** Measures a period without changes and returns the store calls per second. */
    private static double measureAtRest(
            BenchContext bench,
            ControlPlaneInstallation installation,
            double seconds,
            ObjectNode result) {
        Map<String, Long> before = installation.storeCalls();
        double bytesBefore = installation.controlBytes();
        double cpuMsBefore = installation.cpuMs();
        TimedWait.delayMillis(bench.scheduler(), (long) (seconds * MS_PER_SECOND));
        double instanceCount = installation.instances().size();
        double cpu =
                (installation.cpuMs() - cpuMsBefore) / (seconds * MS_PER_SECOND) / instanceCount;
        ObjectNode rest = result.putObject("atRest");
        ObjectNode calls = rest.putObject("storeCallsPerSecond");
        Map<String, Long> after = installation.storeCalls();
        after.forEach(
                (kind, value) -> calls.put(kind, (value - before.getOrElse(kind, 0L)) / seconds));
        // Keys with Mb in their name hold values in MiB.
        rest.put("cpuPercentOfCorePerInstance", cpu * PERCENT)
                .put(
                        "controlBytesPerSecondPerInstance",
                        (installation.controlBytes() - bytesBefore) / seconds / instanceCount)
                .put("rssMbPerInstance", installation.rssMib())
                .put("liveHeapMbOfFirst", installation.liveHeapMib());
        return (totalCalls(after) - totalCalls(before)) / seconds;
    }

    private void measureChanges(
            BenchContext bench,
            ControlPlaneInstallation installation,
            OptionSet options,
            double callsPerSecondAtRest,
            ObjectNode result) {
        long gapMs = (long) (options.valueOf(gapSeconds) * MS_PER_SECOND);
        double callsBefore = totalCalls(installation.storeCalls());
        long start = System.nanoTime();
        Vector<ControlPlaneInstallation.ChangeTiming> timings = Vector.empty();
        for (int change = 0; change < options.valueOf(changes); change++) {
            timings = timings.append(installation.publishChange());
            TimedWait.delayMillis(bench.scheduler(), gapMs);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        double calls = totalCalls(installation.storeCalls()) - callsBefore;
        ObjectNode node = result.putObject("changes").put("count", timings.size());
        putStatistics(
                node,
                "publicationMs",
                timings.map(ControlPlaneInstallation.ChangeTiming::publicationMs));
        putStatistics(
                node,
                "acceptedToLastInstanceMs",
                timings.map(ControlPlaneInstallation.ChangeTiming::acceptedToLastInstanceMs));
        node.put("storeCallsPerChange", (calls - callsPerSecondAtRest * seconds) / timings.size());
        node.put("headBytes", installation.headBytes());
        ArrayNode parts = node.putArray("partBytes");
        installation.partBytes().forEach(parts::add);
    }

    private static void putStatistics(ObjectNode node, String name, Vector<Double> values) {
        SummaryStatistics statistics = SummaryStatistics.of(values);
        node.putObject(name)
                .put("median", statistics.median())
                .put("min", statistics.min())
                .put("worst", statistics.max());
    }

    private static double totalCalls(Map<String, Long> calls) {
        return calls.values().sum().doubleValue();
    }
}
