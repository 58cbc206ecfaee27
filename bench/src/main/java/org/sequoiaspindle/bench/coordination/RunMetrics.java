package org.sequoiaspindle.bench.coordination;

import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.StageAttempt;
import org.sequoiaspindle.bench.state.TimeWindow;

/** Computes the metrics of a run from the measured requests and the counters of the endpoints. */
public final class RunMetrics {

    /** Key of the stand-ins in maps of CPU time by process. */
    public static final String STANDINS = "standins";

    private static final Vector<String> FAILURE_OUTCOMES =
            Vector.of("NOT_RUN", "FAILED", "UNKNOWN", "DEADLINE_EXCEEDED", "TRANSPORT_ERROR");
    private static final long NANOS_PER_MICRO = 1000;
    private static final double MICROS_PER_MS = 1000;
    private static final int HISTOGRAM_DIGITS = 3;

    private RunMetrics() {}

    /**
     * Computes metrics by name.
     *
     * @param records measured requests of the run
     * @param window time window of the load peak or the fault, used by metrics whose names contain
     *     "window"
     * @param stageCounts counters of the endpoints during the run, by stage
     * @param executions number of payment executions by input of the request
     */
    public static Map<String, Double> of(
            Vector<MeasuredRequest> records,
            TimeWindow window,
            Map<String, Map<String, Long>> stageCounts,
            Map<String, Long> executions) {
        Map<String, Double> metrics = LinkedHashMap.empty();
        for (RequestClass requestClass : RequestClass.values()) {
            Vector<MeasuredRequest> classRecords =
                    records.filter(record -> record.request().requestClass() == requestClass);
            if (classRecords.nonEmpty()) {
                metrics =
                        metrics.merge(classMetrics(requestClass.pipeline(), classRecords, window));
            }
        }
        return metrics.merge(workMetrics(records, window, stageCounts))
                .merge(correctnessMetrics(records, executions));
    }

    private static Map<String, Double> classMetrics(
            String name, Vector<MeasuredRequest> records, TimeWindow window) {
        Histogram latency = latencyHistogram(records.filter(MeasuredRequest::isAnswered));
        Map<String, Double> metrics =
                LinkedHashMap.of(
                        name + ".offered",
                        (double) records.size(),
                        name + ".attainment",
                        attainment(records),
                        name + ".windowAttainment",
                        attainment(records.filter(record -> isPlannedIn(window, record.request()))),
                        name + ".p50Ms",
                        latency.getValueAtPercentile(50) / MICROS_PER_MS,
                        name + ".p99Ms",
                        latency.getValueAtPercentile(99) / MICROS_PER_MS,
                        name + ".windowP99Ms",
                        latencyHistogram(
                                                records.filter(MeasuredRequest::isAnswered)
                                                        .filter(
                                                                record ->
                                                                        isPlannedIn(
                                                                                window,
                                                                                record.request())))
                                        .getValueAtPercentile(99)
                                / MICROS_PER_MS);
        Map<String, Double> outcomes =
                FAILURE_OUTCOMES.foldLeft(
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

    private static Map<String, Double> workMetrics(
            Vector<MeasuredRequest> records,
            TimeWindow window,
            Map<String, Map<String, Long>> stageCounts) {
        Vector<StageAttempt> attempts = records.flatMap(MeasuredRequest::stages);
        Vector<StageAttempt> wastedAttempts =
                records.filter(record -> !record.isAnsweredInTime())
                        .flatMap(MeasuredRequest::stages)
                        .filter(StageAttempt::isCompleted);
        double startedCalls =
                stageCounts.values().map(counts -> count(counts, "started")).sum().doubleValue();
        double firstAttempts =
                records.map(record -> record.stages().map(StageAttempt::stage).toSet().size())
                        .sum()
                        .doubleValue();
        // A response does not list an attempt that was running when the deadline passed.
        double deadlineExceededCount = count(records, record -> record.reason().equals("DEADLINE"));
        Vector<MeasuredRequest> recordsInTime =
                records.filter(MeasuredRequest::isAnsweredInTime)
                        .filter(record -> window.contains(record.endNanos()));
        Map<String, Double> metrics =
                LinkedHashMap.of(
                        "windowGoodput",
                        recordsInTime.size() / window.seconds(),
                        "wastedWork",
                        ratio(wastedAttempts.size(), attempts.size()),
                        "callsStarted",
                        startedCalls,
                        "firstAttempts",
                        firstAttempts,
                        "extraAttemptsMost",
                        ratio(startedCalls - firstAttempts, firstAttempts),
                        "extraAttemptsLeast",
                        ratio(
                                startedCalls - firstAttempts - deadlineExceededCount,
                                firstAttempts + deadlineExceededCount),
                        "chatEngineMs",
                        meanGenerationMs(records),
                        "extraReported",
                        ratio(attempts.size() - firstAttempts, firstAttempts),
                        "reroutes",
                        records.map(MeasuredRequest::reroutes).sum().doubleValue());
        return stageCounts.foldLeft(
                metrics,
                (all, stage) -> all.put("busyMs." + stage._1, (double) count(stage._2, "busyMs")));
    }

    /** Returns the mean generation time of a chat, for comparison with the computed capacity. */
    private static double meanGenerationMs(Vector<MeasuredRequest> records) {
        return records.filter(record -> record.request().requestClass() == RequestClass.CHAT)
                .flatMap(MeasuredRequest::stages)
                .filter(stage -> stage.isCompleted() && stage.stage().equals("generate"))
                .map(StageAttempt::serviceMs)
                .average()
                .getOrElse(0.0);
    }

    private static Map<String, Double> correctnessMetrics(
            Vector<MeasuredRequest> records, Map<String, Long> executions) {
        Vector<MeasuredRequest> payments =
                records.filter(record -> record.request().requestClass() == RequestClass.PAYMENT);
        return LinkedHashMap.of(
                "wrongAnswers",
                count(records, record -> record.isAnswered() && !record.answerCorrect()),
                "duplicateExecutions",
                executions.values().map(count -> count - 1).sum().doubleValue(),
                "notRunButExecuted",
                count(
                        payments,
                        record ->
                                record.outcome().equals("NOT_RUN")
                                        && wasExecuted(executions, record)),
                "answeredButNotExecuted",
                count(payments, record -> record.isAnswered() && !wasExecuted(executions, record)));
    }

    private static boolean wasExecuted(Map<String, Long> executions, MeasuredRequest record) {
        return executions.containsKey(record.request().input());
    }

    private static boolean isPlannedIn(TimeWindow window, PlannedRequest request) {
        return window.contains(request.plannedStartNanos());
    }

    private static double attainment(Vector<MeasuredRequest> records) {
        return ratio(records.count(MeasuredRequest::isAnsweredInTime), records.size());
    }

    private static Histogram latencyHistogram(Vector<MeasuredRequest> records) {
        Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
        records.forEach(
                record ->
                        histogram.recordValue(
                                Math.max(0, record.latencyNanos()) / NANOS_PER_MICRO));
        return histogram;
    }

    private static double count(
            Vector<MeasuredRequest> records, Predicate<MeasuredRequest> predicate) {
        return records.count(predicate);
    }

    private static long count(Map<String, Long> counts, String name) {
        return counts.getOrElse(name, 0L);
    }

    private static double ratio(double numerator, double denominator) {
        return denominator == 0 ? 0 : numerator / denominator;
    }

    /**
     * Returns the mean number of CPU cores used by the stand-ins and by the instances.
     *
     * @param before CPU time by process at the start, in milliseconds
     * @param after CPU time of the running processes at the end, in milliseconds
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

    /** Returns the increments of the counters between two readings. */
    public static Map<String, Map<String, Long>> countersDifference(
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
