package org.sequoiaspindle.bench.coordination;

import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.RequestRecord;
import org.sequoiaspindle.bench.state.StageAttempt;
import org.sequoiaspindle.bench.state.Window;

/** Computes the metrics of a run from its records and from the counts of the endpoints. */
public final class RunMetrics {

    /** Name of the stand-ins where CPU times are listed by process. */
    public static final String STANDINS = "standins";

    private static final Vector<String> MISSED_OUTCOMES =
            Vector.of("NOT_RUN", "FAILED", "UNKNOWN", "DEADLINE_EXCEEDED", "TRANSPORT_ERROR");
    private static final long NANOS_PER_MICRO = 1000;
    private static final double MICROS_PER_MS = 1000;
    private static final int HISTOGRAM_DIGITS = 3;

    private RunMetrics() {}

    /**
     * Metrics by name.
     *
     * @param window crest or fault window
     * @param stageCounts counts of the endpoints during the run, by stage
     * @param executions executions of payments by input
     */
    public static Map<String, Double> of(
            Vector<RequestRecord> records,
            Window window,
            Map<String, Map<String, Long>> stageCounts,
            Map<String, Long> executions) {
        Map<String, Double> metrics = LinkedHashMap.empty();
        for (RequestClass kind : RequestClass.values()) {
            Vector<RequestRecord> own = records.filter(record -> record.planned().kind() == kind);
            if (own.nonEmpty()) {
                metrics = metrics.merge(ofClass(kind.pipeline(), own, window));
            }
        }
        return metrics.merge(ofWork(records, window, stageCounts))
                .merge(ofSafety(records, executions));
    }

    private static Map<String, Double> ofClass(
            String name, Vector<RequestRecord> records, Window window) {
        Histogram latency = latency(records.filter(RequestRecord::isAnswered));
        Map<String, Double> metrics =
                LinkedHashMap.of(
                        name + ".offered",
                        (double) records.size(),
                        name + ".attainment",
                        attainment(records),
                        name + ".windowAttainment",
                        attainment(records.filter(record -> startsIn(window, record.planned()))),
                        name + ".p50Ms",
                        latency.getValueAtPercentile(50) / MICROS_PER_MS,
                        name + ".p99Ms",
                        latency.getValueAtPercentile(99) / MICROS_PER_MS,
                        name + ".windowP99Ms",
                        latency(
                                                records.filter(RequestRecord::isAnswered)
                                                        .filter(
                                                                record ->
                                                                        startsIn(
                                                                                window,
                                                                                record.planned())))
                                        .getValueAtPercentile(99)
                                / MICROS_PER_MS);
        Map<String, Double> outcomes =
                MISSED_OUTCOMES.foldLeft(
                        metrics,
                        (all, outcome) ->
                                all.put(
                                        name + "." + outcome,
                                        count(
                                                records,
                                                record -> record.outcome().equals(outcome))));
        return records.filter(record -> !record.isAnswered())
                .groupBy(record -> record.outcome() + "." + record.reason())
                .foldLeft(
                        outcomes,
                        (all, reason) ->
                                all.put(name + "." + reason._1, (double) reason._2.size()));
    }

    private static Map<String, Double> ofWork(
            Vector<RequestRecord> records,
            Window window,
            Map<String, Map<String, Long>> stageCounts) {
        Vector<StageAttempt> attempts = records.flatMap(RequestRecord::stages);
        Vector<StageAttempt> wasted =
                records.filter(record -> !record.isAttained())
                        .flatMap(RequestRecord::stages)
                        .filter(StageAttempt::isCompleted);
        double started =
                stageCounts.values().map(counts -> count(counts, "started")).sum().doubleValue();
        double first =
                records.map(record -> record.stages().map(StageAttempt::stage).toSet().size())
                        .sum()
                        .doubleValue();
        // An answer does not list the attempt that ran when the deadline passed, if one did.
        double cutOff = count(records, record -> record.reason().equals("DEADLINE"));
        Vector<RequestRecord> finished =
                records.filter(RequestRecord::isAttained)
                        .filter(record -> window.contains(record.endNanos()));
        Map<String, Double> metrics =
                LinkedHashMap.of(
                        "windowGoodput",
                        finished.size() / window.seconds(),
                        "wastedWork",
                        ratio(wasted.size(), attempts.size()),
                        "callsStarted",
                        started,
                        "firstAttempts",
                        first,
                        "extraAttemptsMost",
                        ratio(started - first, first),
                        "extraAttemptsLeast",
                        ratio(started - first - cutOff, first + cutOff),
                        "chatEngineMs",
                        meanServiceMs(records),
                        "extraReported",
                        ratio(attempts.size() - first, first),
                        "reroutes",
                        records.map(RequestRecord::reroutes).sum().doubleValue());
        return stageCounts.foldLeft(
                metrics,
                (all, stage) -> all.put("busyMs." + stage._1, (double) count(stage._2, "busyMs")));
    }

    /** Mean time of the generation of a chat; compare it with that of the computed capacity. */
    private static double meanServiceMs(Vector<RequestRecord> records) {
        return records.filter(record -> record.planned().kind() == RequestClass.CHAT)
                .flatMap(RequestRecord::stages)
                .filter(stage -> stage.isCompleted() && stage.stage().equals("generate"))
                .map(StageAttempt::serviceMs)
                .average()
                .getOrElse(0.0);
    }

    private static Map<String, Double> ofSafety(
            Vector<RequestRecord> records, Map<String, Long> executions) {
        Vector<RequestRecord> payments =
                records.filter(record -> record.planned().kind() == RequestClass.PAYMENT);
        return LinkedHashMap.of(
                "wrongAnswers",
                count(records, record -> record.isAnswered() && !record.verified()),
                "duplicateExecutions",
                executions.values().map(count -> count - 1).sum().doubleValue(),
                "notRunButExecuted",
                count(
                        payments,
                        record ->
                                record.outcome().equals("NOT_RUN")
                                        && isExecuted(executions, record)),
                "answeredButNotExecuted",
                count(payments, record -> record.isAnswered() && !isExecuted(executions, record)));
    }

    private static boolean isExecuted(Map<String, Long> executions, RequestRecord record) {
        return executions.containsKey(record.planned().input());
    }

    private static boolean startsIn(Window window, PlannedRequest request) {
        return window.contains(request.atNanos());
    }

    private static double attainment(Vector<RequestRecord> records) {
        return ratio(records.count(RequestRecord::isAttained), records.size());
    }

    private static Histogram latency(Vector<RequestRecord> records) {
        Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
        records.forEach(
                record ->
                        histogram.recordValue(
                                Math.max(0, record.latencyNanos()) / NANOS_PER_MICRO));
        return histogram;
    }

    private static double count(Vector<RequestRecord> records, Predicate<RequestRecord> which) {
        return records.count(which);
    }

    private static long count(Map<String, Long> counts, String name) {
        return counts.getOrElse(name, 0L);
    }

    private static double ratio(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }

    /**
     * Cores that the stand-ins and the instances have used.
     *
     * @param before CPU time by process, in milliseconds
     * @param after the same for the processes that still run
     */
    public static Map<String, Double> cores(
            Map<String, Double> before, Map<String, Double> after, double elapsedMs) {
        Map<String, Double> cores =
                after.map(
                        (name, cpuMs) ->
                                new Tuple2<>(name, (cpuMs - before.apply(name)) / elapsedMs));
        return LinkedHashMap.of(
                "coresOfStandins",
                cores.apply(STANDINS),
                "coresOfInstances",
                cores.remove(STANDINS).values().sum().doubleValue());
    }

    /** What was counted between two reports of the same counts. */
    public static Map<String, Map<String, Long>> difference(
            Map<String, Map<String, Long>> before, Map<String, Map<String, Long>> after) {
        return after.map(
                (stage, counts) ->
                        new Tuple2<>(
                                stage,
                                counts.map(
                                        (name, value) ->
                                                new Tuple2<>(
                                                        name,
                                                        value
                                                                - count(
                                                                        before.apply(stage),
                                                                        name)))));
    }
}
