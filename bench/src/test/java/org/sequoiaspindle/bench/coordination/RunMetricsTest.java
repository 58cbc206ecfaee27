package org.sequoiaspindle.bench.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.StageAttempt;
import org.sequoiaspindle.bench.state.TimeWindow;

/** Guards against metrics that hide failures, duplicate executions or wasted work. */
final class RunMetricsTest {

    private static final long NANOS_PER_MS = 1_000_000;
    private static final TimeWindow WINDOW =
            new TimeWindow(1000 * NANOS_PER_MS, 2000 * NANOS_PER_MS);

    @Test
    void attainmentCountsAllOfferedRequests() {
        Map<String, Double> metrics =
                metrics(
                        Vector.of(
                                record(RequestClass.CHAT, "a", 0, "ANSWERED", 1),
                                record(RequestClass.CHAT, "b", 1100, "NOT_RUN", 0),
                                record(RequestClass.CHAT, "c", 1200, "ANSWERED", 1),
                                record(RequestClass.CHAT, "d", 1300, "TRANSPORT_ERROR", 0)),
                        LinkedHashMap.empty());
        assertEquals(0.5, metrics.apply("chat.attainment"));
        assertEquals(1 / 3.0, metrics.apply("chat.windowAttainment"));
        assertEquals(1, metrics.apply("chat.NOT_RUN"));
        assertEquals(1, metrics.apply("chat.TRANSPORT_ERROR"));
        assertEquals(1, metrics.apply("windowGoodput"));
    }

    @Test
    void stagesOfFailedRequestsAndRepeatedAttemptsAreCounted() {
        Map<String, Double> metrics =
                metrics(
                        Vector.of(
                                record(RequestClass.CHAT, "a", 0, "ANSWERED", 2),
                                record(RequestClass.CHAT, "b", 0, "FAILED", 2)),
                        LinkedHashMap.empty());
        assertEquals(0.5, metrics.apply("wastedWork"));
        assertEquals(1, metrics.apply("extraReported"));
        assertEquals(1.5, metrics.apply("extraAttemptsMost"));
    }

    @Test
    void attemptsInterruptedByTheDeadlineMayBeFirstAttempts() {
        MeasuredRequest interruptedRequest =
                new MeasuredRequest(
                        new PlannedRequest(0, RequestClass.CHAT, "large-1", "a", 1, 0),
                        2500 * NANOS_PER_MS,
                        "DEADLINE_EXCEEDED",
                        "DEADLINE",
                        false,
                        Vector.of(new StageAttempt("encode", "e", 0, "Completed", 0, 1)),
                        0);
        Map<String, Double> metrics = metrics(Vector.of(interruptedRequest), LinkedHashMap.empty());
        assertEquals(4, metrics.apply("extraAttemptsMost"));
        assertEquals(1.5, metrics.apply("extraAttemptsLeast"));
    }

    @Test
    void duplicateAndMisreportedExecutionsOfPaymentsAreCounted() {
        Map<String, Double> metrics =
                metrics(
                        Vector.of(
                                record(RequestClass.PAYMENT, "a", 0, "ANSWERED", 1),
                                record(RequestClass.PAYMENT, "b", 0, "NOT_RUN", 0),
                                record(RequestClass.PAYMENT, "c", 0, "ANSWERED", 1)),
                        LinkedHashMap.of("a", 3L, "b", 1L));
        assertEquals(2, metrics.apply("duplicateExecutions"));
        assertEquals(1, metrics.apply("notRunButExecuted"));
        assertEquals(1, metrics.apply("answeredButNotExecuted"));
    }

    private static Map<String, Double> metrics(
            Vector<MeasuredRequest> records, Map<String, Long> executions) {
        return RunMetrics.of(
                records,
                WINDOW,
                LinkedHashMap.of("encode", LinkedHashMap.of("started", 5L, "busyMs", 7L)),
                executions);
    }

    private static MeasuredRequest record(
            RequestClass requestClass, String input, long atMs, String outcome, int attempts) {
        return new MeasuredRequest(
                new PlannedRequest(atMs * NANOS_PER_MS, requestClass, "large-1", input, 1, 0),
                (atMs + 10) * NANOS_PER_MS,
                outcome,
                "",
                outcome.equals("ANSWERED"),
                Vector.range(0, attempts)
                        .map(
                                attempt ->
                                        new StageAttempt(
                                                "encode", "e", attempt, "Completed", 0, 1)),
                0);
    }
}
