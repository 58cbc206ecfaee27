package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.sequoiaspindle.bench.coordination.MarkdownTable;
import org.sequoiaspindle.bench.coordination.PoissonArrivals;
import org.sequoiaspindle.bench.coordination.SummaryStatistics;
import org.sequoiaspindle.bench.protocol.AsyncHttpClient;
import org.sequoiaspindle.bench.protocol.BenchJson;
import org.sequoiaspindle.bench.protocol.Credentials;
import org.sequoiaspindle.bench.protocol.ObjectSetBuilder;
import org.sequoiaspindle.bench.protocol.OpenLoopLoad;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;

/** Measures the latency that a daemon adds to calls of an endpoint, compared to direct calls. */
final class OverheadCommand {

    private static final String ORGANISATION = "caller";
    private static final String STAGE = "lookup";
    private static final String DATA_CENTRE = "dc-1";
    private static final String FLEET_TEMPLATE =
            "[{\"role\":\"service\",\"name\":\"s\",\"slots\":%d,\"serviceMs\":%d}]";
    private static final int SLOTS = 256;
    private static final int EXPECTED_SERVICE_MS = 2;
    private static final int DEADLINE_MS = 2000;
    private static final int PROCESSORS_PER_INSTANCE = 2;
    private static final double MICROS_PER_MS = 1000;
    private static final long NANOS_PER_MICRO = 1000;

    private final OptionSpec<Double> rate;
    private final OptionSpec<Double> seconds;
    private final OptionSpec<Double> warmUp;
    private final OptionSpec<Integer> repeats;
    private final OptionSpec<String> policy;
    private final OptionSpec<String> out;

    private OverheadCommand(OptionParser parser) {
        rate = SizeOptions.doubleOption(parser, "rate", "requests per second", 1000);
        seconds = SizeOptions.doubleOption(parser, "seconds", "length of a run in seconds", 20);
        warmUp =
                SizeOptions.doubleOption(
                        parser,
                        "warm-up",
                        "seconds of warm-up, for each of direct and through",
                        10);
        repeats =
                SizeOptions.integerOption(
                        parser, "repeats", "runs of each of direct and through, alternating", 3);
        policy =
                SizeOptions.stringOption(parser, "policy", "policy of the daemon")
                        .defaultsTo("chosen");
        out = SizeOptions.stringOption(parser, "out", "directory for results and logs").required();
    }

    /**
     * Summary of one run.
     *
     * @param failedRequests number of requests without the expected answer
     * @param cpuMsPerRequest CPU time of the daemon per request, in milliseconds
     */
    private record RunSummary(
            double p50Ms, double p99Ms, double failedRequests, double cpuMsPerRequest) {}

    /**
     * Measurement of one request.
     *
     * @param latencyNanos time from the planned start to the response or failure, in nanoseconds
     * @param problem description of a failure or a wrong answer
     */
    private record Sample(long latencyNanos, Option<String> problem) {}

    static Subcommand.Action declare(OptionParser parser) {
        return new OverheadCommand(parser)::run;
    }

    private void run(OptionSet options) {
        ResultDirectory output = new ResultDirectory(Path.of(options.valueOf(out)));
        try (BenchContext bench = new BenchContext();
                ChildProcesses processes =
                        new ChildProcesses(output.directory().resolve("overhead-logs"))) {
            String platform = processes.startPlatform();
            String service =
                    processes
                            .startFleet(FLEET_TEMPLATE.formatted(SLOTS, EXPECTED_SERVICE_MS))
                            .apply("s");
            BenchContext.EntryInstance daemon =
                    bench.startInstances(
                                    processes,
                                    Vector.of(DATA_CENTRE),
                                    options.valueOf(policy),
                                    platform,
                                    PROCESSORS_PER_INSTANCE)
                            .head();
            bench.publishInitialSet(Vector.of(daemon), objectSet(service));
            AsyncHttpClient.Request direct = directRequest(service);
            AsyncHttpClient.Request viaDaemon = daemonRequest(daemon.address());
            long pid = daemon.process().pid();
            double load = options.valueOf(rate);
            measure(bench, direct, "output", load, options.valueOf(warmUp), 0, pid);
            measure(bench, viaDaemon, "answer", load, options.valueOf(warmUp), 0, pid);
            Vector<RunSummary> directRuns = Vector.empty();
            Vector<RunSummary> daemonRuns = Vector.empty();
            for (int round = 1; round <= options.valueOf(repeats); round++) {
                double length = options.valueOf(seconds);
                directRuns =
                        directRuns.append(
                                measure(bench, direct, "output", load, length, round, pid));
                daemonRuns =
                        daemonRuns.append(
                                measure(bench, viaDaemon, "answer", load, length, round, pid));
            }
            writeReport(output, directRuns, daemonRuns);
        }
    }

    private static RunSummary measure(
            BenchContext bench,
            AsyncHttpClient.Request request,
            String answerField,
            double rate,
            double seconds,
            long seed,
            long pid) {
        Vector<Long> arrivals = PoissonArrivals.sample(time -> rate, rate, seconds, seed);
        double cpuBefore = ProcessStatistics.cpuMs(pid);
        long start = System.nanoTime();
        LongSupplier runNanos = () -> System.nanoTime() - start;
        Vector<Sample> samples =
                OpenLoopLoad.run(
                        arrivals,
                        Long::longValue,
                        runNanos,
                        bench.scheduler(),
                        plannedStartNanos ->
                                sendSample(
                                        bench.http(),
                                        request,
                                        answerField,
                                        plannedStartNanos,
                                        runNanos));
        double cpuMs = ProcessStatistics.cpuMs(pid) - cpuBefore;
        Histogram histogram = new Histogram(3);
        samples.filter(sample -> sample.problem.isEmpty())
                .forEach(sample -> histogram.recordValue(sample.latencyNanos / NANOS_PER_MICRO));
        Vector<String> problems = samples.flatMap(Sample::problem);
        if (problems.nonEmpty()) {
            System.out.println(
                    request.path()
                            + " round "
                            + seed
                            + ": "
                            + problems.groupBy(problem -> problem).mapValues(Vector::size));
        }
        return new RunSummary(
                histogram.getValueAtPercentile(50) / MICROS_PER_MS,
                histogram.getValueAtPercentile(99) / MICROS_PER_MS,
                problems.size(),
                cpuMs / arrivals.size());
    }

    /** Sends one request and measures the latency. */
    private static CompletableFuture<Sample> sendSample(
            AsyncHttpClient http,
            AsyncHttpClient.Request request,
            String answerField,
            long plannedStartNanos,
            LongSupplier runNanos) {
        String input = "input-" + plannedStartNanos;
        String body = BenchJson.object().put("input", input).put("maxTokens", 1).toString();
        return http.send(request.withBody(body).withHeader("Sequoia-Request-Id", input))
                .handle(
                        (response, failure) ->
                                new Sample(
                                        runNanos.getAsLong() - plannedStartNanos,
                                        failure == null
                                                ? findProblem(response, answerField, input)
                                                : Option.of(failure.toString())));
    }

    private static Option<String> findProblem(
            AsyncHttpClient.Response response, String answerField, String input) {
        JsonNode node = BenchJson.parse(response.body());
        String answer = node.path(answerField).asText();
        if (answer.equals(ExpectedAnswers.output(STAGE, input))) {
            return Option.none();
        }
        return Option.of(
                answer.isEmpty()
                        ? response.status() + " " + node.path("outcome") + node.path("reason")
                        : "wrong answer");
    }

    private static AsyncHttpClient.Request directRequest(String service) {
        return AsyncHttpClient.Request.of("POST", service, "/v1/execute", "")
                .withHeader("Sequoia-Organisation", ORGANISATION)
                .withHeader("Sequoia-Stage", STAGE)
                .withHeader("Sequoia-Attempt", "1")
                .withHeader("Sequoia-Priority", "0")
                .withHeader("Sequoia-Deadline-Ms", Integer.toString(DEADLINE_MS));
    }

    private static AsyncHttpClient.Request daemonRequest(String daemon) {
        return AsyncHttpClient.Request.of("POST", daemon, "/v1/pipelines/" + STAGE, "")
                .withCredential(Credentials.nameAndSecret(ORGANISATION))
                .withHeader("Sequoia-Deadline-Ms", Integer.toString(DEADLINE_MS));
    }

    private static String objectSet(String service) {
        return new ObjectSetBuilder()
                .addOrganisation(ORGANISATION, 100)
                .addGroup("services", "service")
                .addEndpoint("service-1", "services", DATA_CENTRE, service, SLOTS)
                .addStage(STAGE, "services", true, false, EXPECTED_SERVICE_MS)
                .addPipeline(STAGE, DEADLINE_MS, STAGE)
                .toJson();
    }

    private static void writeReport(
            ResultDirectory output, Vector<RunSummary> direct, Vector<RunSummary> viaDaemon) {
        Map<String, SummaryStatistics> rows =
                LinkedHashMap.of(
                        "direct p50 ms", SummaryStatistics.of(direct.map(RunSummary::p50Ms)),
                        "direct p99 ms", SummaryStatistics.of(direct.map(RunSummary::p99Ms)),
                        "through p50 ms", SummaryStatistics.of(viaDaemon.map(RunSummary::p50Ms)),
                        "through p99 ms", SummaryStatistics.of(viaDaemon.map(RunSummary::p99Ms)));
        rows =
                rows.put(
                                "added p50 ms",
                                difference(
                                        direct.map(RunSummary::p50Ms),
                                        viaDaemon.map(RunSummary::p50Ms)))
                        .put(
                                "added p99 ms",
                                difference(
                                        direct.map(RunSummary::p99Ms),
                                        viaDaemon.map(RunSummary::p99Ms)))
                        .put(
                                "daemon CPU ms per request",
                                SummaryStatistics.of(viaDaemon.map(RunSummary::cpuMsPerRequest)))
                        .put(
                                "direct failed",
                                SummaryStatistics.of(direct.map(RunSummary::failedRequests)))
                        .put(
                                "through failed",
                                SummaryStatistics.of(viaDaemon.map(RunSummary::failedRequests)));
        ObjectNode node = BenchJson.object();
        rows.forEach(
                (name, value) ->
                        node.putObject(name)
                                .put("median", value.median())
                                .put("min", value.min())
                                .put("max", value.max()));
        output.writeJson("overhead.json", node);
        String table =
                MarkdownTable.of(
                        Vector.of("figure", "median (min-max)"),
                        rows.map(row -> Vector.of(row._1, row._2.format())).toVector());
        output.writeText("overhead.md", table);
        System.out.print(table);
    }

    private static SummaryStatistics difference(Vector<Double> direct, Vector<Double> viaDaemon) {
        return SummaryStatistics.of(
                viaDaemon.zipWith(direct, (throughMs, directMs) -> throughMs - directMs));
    }
}
