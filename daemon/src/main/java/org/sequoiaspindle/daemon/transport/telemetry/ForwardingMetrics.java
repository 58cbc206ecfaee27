package org.sequoiaspindle.daemon.transport.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;
import org.sequoiaspindle.core.protocol.relay.RelayedStore;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Prometheus metrics of a forwarding instance. Label values come only from the configuration, from
 * the registrations of endpoints and from fixed sets, which bounds the number of time series.
 * Thread-safe.
 */
public final class ForwardingMetrics {

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 11, 30
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            counter(
                    "forwarded_requests",
                    "Requests by service, status and reason",
                    "service",
                    "status",
                    "reason");
    private final Histogram requestSeconds =
            Histogram.builder()
                    .name("sequoiaspindle_forwarded_request_seconds")
                    .help("Time from the arrival of a request to the end of its answer")
                    .labelNames("service")
                    .classicOnly()
                    .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                    .register(registry);
    private final Counter attempts =
            counter(
                    "forwarding_attempts", "Sends to replicas by service and result",
                    "service", "result");
    private final Counter rejections =
            counter("rejected_requests", "Requests that could not be read, by status", "status");
    private final Counter closedConnections =
            counter(
                    "closed_connections",
                    "Connections of clients that lost their memory or place, by reason",
                    "reason");
    private final Counter strayAnswers =
            counter(
                    "stray_answers",
                    "Answers besides the answer to a request, by state of the connection",
                    "connection");
    private final Counter storeCalls =
            counter(
                    "store_calls", "Store calls by command and result",
                    "command", "result");
    private final Counter relayedReads =
            counter(
                    "store_relayed_reads",
                    "Reads of the store through another instance, by command and result",
                    "command",
                    "result");
    private final Counter permits =
            counter(
                    "permits",
                    "Permits for cold endpoints: issued, refused, expired before use, used",
                    "event");
    private final Gauge inFlightRequests =
            Gauge.builder()
                    .name("sequoiaspindle_forwarded_requests_in_flight")
                    .help("Forwarded requests in flight")
                    .register(registry);

    /**
     * Pace of an endpoint.
     *
     * @param capacity share of its usual rate that it carries
     */
    public record EndpointPaceSample(String endpoint, String service, double capacity) {}

    /** Exposes the pace of the endpoints that carry less than their usual rate. */
    public void exposePaces(Supplier<List<EndpointPaceSample>> samples) {
        GaugeWithCallback.builder()
                .name("sequoiaspindle_endpoint_pace")
                .help("Share of its usual rate that an endpoint carries, of those below 1")
                .labelNames("endpoint", "service")
                .callback(
                        callback ->
                                samples.get()
                                        .forEach(
                                                sample ->
                                                        callback.call(
                                                                sample.capacity(),
                                                                sample.endpoint(),
                                                                sample.service())))
                .register(registry);
    }

    /** Exposes the number of lines of the log that were dropped because nobody read the output. */
    public void countDroppedLines(LongSupplier droppedLines) {
        CounterWithCallback.builder()
                .name("sequoiaspindle_log_lines_dropped")
                .help("Lines of the log that were dropped")
                .callback(callback -> callback.call(droppedLines.getAsLong()))
                .register(registry);
    }

    /**
     * Exposes the evacuated data centres. Their names come from the operator.
     *
     * @param since returns the time at which the instance learned of each evacuation, in
     *     milliseconds of the wall clock
     */
    public void reportEvacuations(Supplier<Map<String, Long>> since) {
        GaugeWithCallback.builder()
                .name("sequoiaspindle_evacuated_data_centres")
                .help("Number of data centres that are evacuated")
                .callback(callback -> callback.call(since.get().size()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("sequoiaspindle_data_centre_evacuated_since_seconds")
                .help("Time at which the instance learned of the evacuation, by data centre")
                .labelNames("dataCentre")
                .callback(
                        callback ->
                                since.get()
                                        .forEach(
                                                (name, millis) ->
                                                        callback.call(
                                                                millis / MILLIS_PER_SECOND, name)))
                .register(registry);
    }

    /** Exposes the number of cold endpoints. */
    public void countColdEndpoints(LongSupplier coldEndpoints) {
        GaugeWithCallback.builder()
                .name("sequoiaspindle_cold_endpoints")
                .help("Endpoints that are cold, as this instance knows them")
                .callback(callback -> callback.call(coldEndpoints.getAsLong()))
                .register(registry);
    }

    /**
     * Counts an event of a permit.
     *
     * @param event issued, refused, expired or used
     */
    public void recordPermit(String event) {
        permits.labelValues(event).inc();
    }

    /** Exposes the bytes that are held for clients, by kind. */
    public void showHeldMemory(ToLongFunction<MemoryKind> bytesOf) {
        GaugeWithCallback.builder()
                .name("sequoiaspindle_held_bytes")
                .help("Memory held for clients, by kind")
                .labelNames("kind")
                .callback(
                        callback -> {
                            for (MemoryKind kind : MemoryKind.values()) {
                                callback.call(bytesOf.applyAsLong(kind), kind.name());
                            }
                        })
                .register(registry);
    }

    /**
     * Counts a connection that was closed or refused so that others get its memory or its place.
     *
     * @param reason name of the log event
     */
    public void recordClosedConnection(String reason) {
        closedConnections.labelValues(reason).inc();
    }

    public void recordRequestStart() {
        inFlightRequests.inc();
    }

    /**
     * Counts a finished request.
     *
     * @param service service of the matching route, "none" if no route matches
     * @param reason why the instance itself ended the request, "none" if the request ended with the
     *     response of a replica
     */
    public void recordRequestEnd(String service, int status, String reason, long millis) {
        inFlightRequests.dec();
        requests.labelValues(service, String.valueOf(status), reason).inc();
        requestSeconds.labelValues(service).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts input that could not be parsed as a request. */
    public void recordRejection(int status) {
        rejections.labelValues(String.valueOf(status)).inc();
    }

    public void recordAttempt(String service, String result) {
        attempts.labelValues(service, result).inc();
    }

    /**
     * Counts an answer that is not the answer to the request in progress on its connection.
     *
     * @param idle whether no request was in progress
     */
    public void recordStrayAnswer(boolean idle) {
        strayAnswers.labelValues(idle ? "idle" : "busy").inc();
    }

    /**
     * Returns a store that counts the calls of the given store by the names of command and result.
     */
    public Store countStoreCalls(Store next) {
        return command ->
                next.execute(command).thenApply(result -> count(storeCalls, command, result));
    }

    /** Returns a client that counts the reads through other instances, like the store calls. */
    public RelayedStore.ReaderClient countRelayedReads(RelayedStore.ReaderClient next) {
        return (reader, command) ->
                next.execute(reader, command)
                        .thenApply(result -> count(relayedReads, command, result));
    }

    private static StoreResult count(Counter counter, StoreCommand command, StoreResult result) {
        counter.labelValues(command.getClass().getSimpleName(), result.getClass().getSimpleName())
                .inc();
        return result;
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

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name("sequoiaspindle_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }
}
