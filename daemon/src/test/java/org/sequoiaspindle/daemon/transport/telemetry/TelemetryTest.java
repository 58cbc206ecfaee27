package org.sequoiaspindle.daemon.transport.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.protocol.DaemonJson;
import org.sequoiaspindle.daemon.state.EntrySettings;

/** Guards against malformed log lines, disconnected traces and wrong counts. */
final class TelemetryTest {

    private static final String PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    @Test
    void spansOfARequestBelongToTheCallersTrace() {
        ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
        OtelSpanTracer tracer =
                OtelSpanTracer.create(
                        "entry-1",
                        "n",
                        new EntrySettings.Telemetry(Option.none(), true),
                        lines::add);
        SpanTracer.ActiveSpan outer =
                tracer.start("receive", PARENT, HashMap.of("organisation", "acme"));
        SpanTracer.ActiveSpan inner =
                tracer.start("call", outer.traceParent(), HashMap.of("attempt", 2));
        inner.end("Completed");
        outer.end("ANSWERED");
        tracer.close();

        JsonNode call = DaemonJson.parseObject(lines.poll()).get();
        JsonNode receive = DaemonJson.parseObject(lines.poll()).get();
        assertEquals("0af7651916cd43dd8448eb211c80319c", call.path("traceId").asText());
        assertEquals(receive.path("spanId"), call.path("parentSpanId"));
        assertEquals("b7ad6b7169203331", receive.path("parentSpanId").asText());
        assertEquals(2, call.path("attributes").path("attempt").asInt());
        assertEquals("ANSWERED", receive.path("attributes").path("outcome").asText());
    }

    @Test
    void malformedTraceContextStartsANewTrace() {
        OtelSpanTracer tracer =
                OtelSpanTracer.create("e", "n", new EntrySettings.Telemetry(Option.none(), false));
        assertEquals(55, tracer.start("a", "nonsense", HashMap.empty()).traceParent().length());
        assertEquals(55, tracer.start("a", "", HashMap.empty()).traceParent().length());
        tracer.close();
    }

    @Test
    void logLineHasTheNumberTheNameTheFieldsAndTheTrace() {
        JsonNode line =
                formatted(
                        LogEvent.ENDPOINT_EJECTED,
                        HashMap.of("endpoint", "e\n1", "failures", 3, "traceId", "abc"));
        assertEquals(601, line.path("event").asInt());
        assertEquals("ENDPOINT_EJECTED", line.path("name").asText());
        assertEquals("endpoint ejected", line.path("message").asText());
        assertEquals("WARN", line.path("level").asText());
        assertEquals("e\n1", line.path("fields").path("endpoint").asText());
        assertEquals(3, line.path("fields").path("failures").asInt());
        assertEquals("abc", line.path("traceId").asText());
    }

    @Test
    void metricsCountRequestsAttemptsAndStoreCalls() {
        EntryMetrics metrics = new EntryMetrics(() -> 0);
        CompletableFuture<Answer> running = new CompletableFuture<>();
        metrics.countRequests((request, sink) -> running).handle(null, TokenSink.DISCARD);
        assertTrue(metrics.prometheusText().contains("sequoiaspindle_requests_in_flight 1.0"));
        running.complete(
                new Answer(
                        new RequestId("r"),
                        Outcome.NOT_RUN,
                        OutcomeReason.NO_TIME,
                        "",
                        "",
                        1,
                        Vector.empty()));
        metrics.recordStageAttempt("rank", "pool", "Completed", 7);
        metrics.controlBytesSent().accept(100);
        metrics.countStoreCalls(
                        command ->
                                CompletableFuture.completedFuture(
                                        (StoreResult) new StoreResult.Missing()))
                .execute(new StoreCommand.Read("k"));
        for (String line :
                new String[] {
                    "sequoiaspindle_requests_in_flight 0.0",
                    "sequoiaspindle_requests_total{outcome=\"NOT_RUN\",reason=\"NO_TIME\"} 1.0",
                    "sequoiaspindle_stage_attempts_total"
                            + "{group=\"pool\",result=\"Completed\",stage=\"rank\"} 1.0",
                    "sequoiaspindle_control_bytes_total{direction=\"sent\"} 100.0",
                    "sequoiaspindle_store_calls_total{command=\"Read\"} 1.0",
                    "sequoiaspindle_request_seconds_count 1"
                }) {
            assertTrue(
                    metrics.prometheusText().contains(line),
                    line + " in " + metrics.prometheusText());
        }
    }

    /** Formats the message of an event with the layout of the events appender. */
    private static JsonNode formatted(LogEvent event, HashMap<String, Object> fields) {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        AsyncAppender queue = context.getConfiguration().getAppender("eventQueue");
        assertEquals(1, queue.getAppenderRefStrings().length);
        Message message = LogEventWriter.message(event, fields);
        return DaemonJson.parseObject(
                        context.getConfiguration()
                                .getAppender(queue.getAppenderRefStrings()[0])
                                .getLayout()
                                .toSerializable(
                                        Log4jLogEvent.newBuilder()
                                                .setLevel(org.apache.logging.log4j.Level.WARN)
                                                .setMessage(message)
                                                .build())
                                .toString())
                .get();
    }
}
