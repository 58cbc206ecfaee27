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
import org.sequoiaspindle.bench.coordination.ArrivalSchedule;
import org.sequoiaspindle.bench.coordination.MarkdownTable;
import org.sequoiaspindle.bench.coordination.Statistics;
import org.sequoiaspindle.bench.protocol.Credentials;
import org.sequoiaspindle.bench.protocol.HttpCaller;
import org.sequoiaspindle.bench.protocol.Json;
import org.sequoiaspindle.bench.protocol.LoadRun;
import org.sequoiaspindle.bench.protocol.ObjectSetDocument;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;

/** Measures what one daemon adds to calls of an endpoint, against calling it directly. */
final class OverheadCommand {

    private static final String ORGANISATION = "caller";
    private static final String STAGE = "lookup";
    private static final String DATA_CENTRE = "dc-1";
    private static final String FLEET =
            "[{\"role\":\"service\",\"name\":\"s\",\"slots\":%d,\"serviceMs\":%d}]";
    private static final int SLOTS = 256;
    private static final int EXPECTED_MS = 2;
    private static final int DEADLINE_MS = 2000;
    private static final int PROCESSORS = 2;
    private static final double MICROS_PER_MS = 1000;
    private static final long NANOS_PER_MICRO = 1000;

    private final OptionSpec<Double> rate;
    private final OptionSpec<Double> seconds;
    private final OptionSpec<Double> warmUp;
    private final OptionSpec<Integer> repeats;
    private final OptionSpec<String> policy;
    private final OptionSpec<String> out;

    private OverheadCommand(OptionParser parser) {
        rate = SizeOptions.decimal(parser, "rate", "requests per second", 1000);
        seconds = SizeOptions.decimal(parser, "seconds", "length of a run", 20);
        warmUp = SizeOptions.decimal(parser, "warm-up", "seconds of each way before the runs", 10);
        repeats = SizeOptions.whole(parser, "repeats", "runs of each way, alternating", 3);
        policy = SizeOptions.text(parser, "policy", "policy of the daemon").defaultsTo("chosen");
        out = SizeOptions.text(parser, "out", "directory for results and logs").required();
    }

    /**
     * Result of one run.
     *
     * @param failed requests without the expected answer
     * @param cpuMsPerRequest CPU time of the daemon
     */
    private record Run(double p50Ms, double p99Ms, double failed, double cpuMsPerRequest) {}

    /** Time since the intended start of one request, and what was wrong with its answer. */
    private record Sample(long nanos, Option<String> problem) {}

    static Command.Action declare(OptionParser parser) {
        return new OverheadCommand(parser)::run;
    }

    private void run(OptionSet options) {
        Output output = new Output(Path.of(options.valueOf(out)));
        try (Bench bench = new Bench();
                ChildProcesses processes =
                        new ChildProcesses(output.directory().resolve("overhead-logs"))) {
            String platform = processes.platform();
            String service = processes.fleet(FLEET.formatted(SLOTS, EXPECTED_MS)).apply("s");
            Bench.Instance daemon =
                    bench.instances(
                                    processes,
                                    Vector.of(DATA_CENTRE),
                                    options.valueOf(policy),
                                    platform,
                                    PROCESSORS)
                            .head();
            bench.publishFirst(Vector.of(daemon), objects(service));
            HttpCaller.Order direct = direct(service);
            HttpCaller.Order through = through(daemon.address());
            long pid = daemon.process().pid();
            double rateOf = options.valueOf(rate);
            measure(bench, direct, "output", rateOf, options.valueOf(warmUp), 0, pid);
            measure(bench, through, "answer", rateOf, options.valueOf(warmUp), 0, pid);
            Vector<Run> directRuns = Vector.empty();
            Vector<Run> throughRuns = Vector.empty();
            for (int round = 1; round <= options.valueOf(repeats); round++) {
                double length = options.valueOf(seconds);
                directRuns =
                        directRuns.append(
                                measure(bench, direct, "output", rateOf, length, round, pid));
                throughRuns =
                        throughRuns.append(
                                measure(bench, through, "answer", rateOf, length, round, pid));
            }
            report(output, directRuns, throughRuns);
        }
    }

    private static Run measure(
            Bench bench,
            HttpCaller.Order order,
            String field,
            double rate,
            double seconds,
            long seed,
            long pid) {
        Vector<Long> arrivals = ArrivalSchedule.draw(time -> rate, rate, seconds, seed);
        double cpuBefore = ProcessStatistics.cpuMs(pid);
        long start = System.nanoTime();
        LongSupplier runNanos = () -> System.nanoTime() - start;
        Vector<Sample> samples =
                LoadRun.run(
                        arrivals,
                        Long::longValue,
                        runNanos,
                        bench.scheduler(),
                        at -> sample(bench.http(), order, field, at, runNanos));
        double cpuMs = ProcessStatistics.cpuMs(pid) - cpuBefore;
        Histogram histogram = new Histogram(3);
        samples.filter(sample -> sample.problem.isEmpty())
                .forEach(sample -> histogram.recordValue(sample.nanos / NANOS_PER_MICRO));
        Vector<String> problems = samples.flatMap(Sample::problem);
        if (problems.nonEmpty()) {
            System.out.println(
                    order.path()
                            + " round "
                            + seed
                            + ": "
                            + problems.groupBy(text -> text).mapValues(Vector::size));
        }
        return new Run(
                histogram.getValueAtPercentile(50) / MICROS_PER_MS,
                histogram.getValueAtPercentile(99) / MICROS_PER_MS,
                problems.size(),
                cpuMs / arrivals.size());
    }

    /** Latency of a request, or why it has none. */
    private static CompletableFuture<Sample> sample(
            HttpCaller http,
            HttpCaller.Order order,
            String field,
            long atNanos,
            LongSupplier runNanos) {
        String input = "input-" + atNanos;
        String body = Json.object().put("input", input).put("maxTokens", 1).toString();
        return http.send(order.withBody(body).with("Sequoia-Request-Id", input))
                .handle(
                        (reply, failure) ->
                                new Sample(
                                        runNanos.getAsLong() - atNanos,
                                        failure == null
                                                ? problem(reply, field, input)
                                                : Option.of(failure.toString())));
    }

    private static Option<String> problem(HttpCaller.Reply reply, String field, String input) {
        JsonNode node = Json.parse(reply.body());
        String answer = node.path(field).asText();
        if (answer.equals(ExpectedAnswers.output(STAGE, input))) {
            return Option.none();
        }
        return Option.of(
                answer.isEmpty()
                        ? reply.status() + " " + node.path("outcome") + node.path("reason")
                        : "wrong answer");
    }

    private static HttpCaller.Order direct(String service) {
        return HttpCaller.Order.of("POST", service, "/v1/execute", "")
                .with("Sequoia-Organisation", ORGANISATION)
                .with("Sequoia-Stage", STAGE)
                .with("Sequoia-Attempt", "1")
                .with("Sequoia-Priority", "0")
                .with("Sequoia-Deadline-Ms", Integer.toString(DEADLINE_MS));
    }

    private static HttpCaller.Order through(String daemon) {
        return HttpCaller.Order.of("POST", daemon, "/v1/pipelines/" + STAGE, "")
                .as(Credentials.of(ORGANISATION))
                .with("Sequoia-Deadline-Ms", Integer.toString(DEADLINE_MS));
    }

    private static String objects(String service) {
        return new ObjectSetDocument()
                .organisation(ORGANISATION, 100)
                .group("services", "service")
                .endpoint("service-1", "services", DATA_CENTRE, service, SLOTS)
                .stage(STAGE, "services", true, false, EXPECTED_MS)
                .pipeline(STAGE, DEADLINE_MS, STAGE)
                .text();
    }

    private static void report(Output output, Vector<Run> direct, Vector<Run> through) {
        Map<String, Statistics> rows =
                LinkedHashMap.of(
                        "direct p50 ms", Statistics.of(direct.map(Run::p50Ms)),
                        "direct p99 ms", Statistics.of(direct.map(Run::p99Ms)),
                        "through p50 ms", Statistics.of(through.map(Run::p50Ms)),
                        "through p99 ms", Statistics.of(through.map(Run::p99Ms)));
        rows =
                rows.put("added p50 ms", added(direct.map(Run::p50Ms), through.map(Run::p50Ms)))
                        .put("added p99 ms", added(direct.map(Run::p99Ms), through.map(Run::p99Ms)))
                        .put(
                                "daemon CPU ms per request",
                                Statistics.of(through.map(Run::cpuMsPerRequest)))
                        .put("direct failed", Statistics.of(direct.map(Run::failed)))
                        .put("through failed", Statistics.of(through.map(Run::failed)));
        ObjectNode node = Json.object();
        rows.forEach(
                (name, value) ->
                        node.putObject(name)
                                .put("median", value.median())
                                .put("min", value.min())
                                .put("max", value.max()));
        output.json("overhead.json", node);
        String table =
                MarkdownTable.of(
                        Vector.of("figure", "median (min-max)"),
                        rows.map(row -> Vector.of(row._1, row._2.text())).toVector());
        output.text("overhead.md", table);
        System.out.print(table);
    }

    private static Statistics added(Vector<Double> direct, Vector<Double> through) {
        return Statistics.of(through.zipWith(direct, (with, without) -> with - without));
    }
}
