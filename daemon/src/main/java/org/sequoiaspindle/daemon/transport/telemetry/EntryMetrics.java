package org.sequoiaspindle.daemon.transport.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.CallerRequest;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.store.Store;

/** Prometheus metrics of an entry instance. Thread-safe. */
public final class EntryMetrics {

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 11, 30, 120, 600
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            counter("requests", "Requests by outcome and reason", "outcome", "reason");
    private final Histogram requestSeconds =
            histogram("request_seconds", "Time from receiving a request to its outcome");
    private final Gauge inFlightRequests =
            Gauge.builder()
                    .name("sequoiaspindle_requests_in_flight")
                    .help("Requests in flight")
                    .register(registry);
    private final Counter attempts =
            counter(
                    "stage_attempts",
                    "Stage attempts by stage, endpoint group and result",
                    "stage",
                    "group",
                    "result");
    private final Histogram serviceSeconds =
            histogram("stage_service_seconds", "Duration of stage attempts", "stage", "group");
    private final Counter controlBytes =
            counter(
                    "control_bytes",
                    "Control traffic between instances in bytes, by direction",
                    "direction");
    private final Counter storeCalls = counter("store_calls", "Store calls by command", "command");

    private final MillisClock clock;

    /**
     * Creates metrics with all counters at zero.
     *
     * @param clock monotonic clock for durations
     */
    public EntryMetrics(MillisClock clock) {
        this.clock = clock;
    }

    /** Returns a handler that counts and measures the requests of the given handler. */
    public RequestHandler countRequests(RequestHandler next) {
        return (request, sink) -> handle(next, request, sink);
    }

    /** Returns a store that counts the calls of the given store by the name of the command. */
    public Store countStoreCalls(Store next) {
        return command -> {
            storeCalls.labelValues(command.getClass().getSimpleName()).inc();
            return next.execute(command);
        };
    }

    /**
     * Counts one attempt of a stage.
     *
     * @param group endpoint group that ran the attempt
     * @param result simple name of the {@code CallResult}
     */
    public void recordStageAttempt(String stage, String group, String result, long serviceMillis) {
        attempts.labelValues(stage, group, result).inc();
        serviceSeconds.labelValues(stage, group).observe(serviceMillis / MILLIS_PER_SECOND);
    }

    /** Returns a consumer for the sizes of sent control messages. */
    public LongConsumer controlBytesSent() {
        return controlBytes.labelValues("sent")::inc;
    }

    /** Returns a consumer for the sizes of received control messages. */
    public LongConsumer controlBytesReceived() {
        return controlBytes.labelValues("received")::inc;
    }

    /** Returns all metrics in the Prometheus text format. */
    public String prometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("an array can always be written", e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private CompletionStage<Answer> handle(
            RequestHandler next, CallerRequest request, TokenSink sink) {
        long start = clock.now();
        inFlightRequests.inc();
        return next.handle(request, sink)
                .whenComplete((answer, failure) -> recordEnd(answer, clock.now() - start));
    }

    private void recordEnd(Answer answer, long millis) {
        inFlightRequests.dec();
        if (answer != null) {
            requests.labelValues(answer.outcome().name(), answer.reason().name()).inc();
            requestSeconds.observe(millis / MILLIS_PER_SECOND);
        }
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name("sequoiaspindle_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return Histogram.builder()
                .name("sequoiaspindle_" + name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                .register(registry);
    }
}
