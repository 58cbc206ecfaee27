package org.sequoiaspindle.daemon.transport.telemetry;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.vavr.collection.Map;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.daemon.state.EntrySettings;

/**
 * Records the spans of requests and of the attempts of stages with OpenTelemetry. Propagates the
 * trace context in W3C format.
 */
public final class OtelSpanTracer implements SpanTracer, AutoCloseable {

    private static final String TRACE_PARENT = "traceparent";
    private static final String SPAN_LOGGER = "org.sequoiaspindle.spans";
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private static final TextMapGetter<String> GETTER =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(String carrier) {
                    return List.of(TRACE_PARENT);
                }

                @Override
                public String get(String carrier, String key) {
                    return TRACE_PARENT.equals(key) ? carrier : null;
                }
            };

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    private OtelSpanTracer(SdkTracerProvider provider) {
        this.provider = provider;
        this.tracer = provider.get("sequoiaspindled");
    }

    /**
     * Creates a tracer with the exporters of the settings. A tracer without exporters still
     * generates trace and span ids.
     */
    public static OtelSpanTracer create(
            String instance, String dataCentre, EntrySettings.Telemetry telemetry) {
        return create(instance, dataCentre, telemetry, LogManager.getLogger(SPAN_LOGGER)::info);
    }

    static OtelSpanTracer create(
            String instance,
            String dataCentre,
            EntrySettings.Telemetry telemetry,
            Consumer<String> spanLog) {
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder()
                        .setResource(
                                Resource.create(
                                        Attributes.builder()
                                                .put("service.name", "sequoiaspindled")
                                                .put("service.instance.id", instance)
                                                .put("sequoia.data_centre", dataCentre)
                                                .build()));
        telemetry
                .otlpEndpoint()
                .forEach(
                        url ->
                                builder.addSpanProcessor(
                                        BatchSpanProcessor.builder(
                                                        OtlpHttpSpanExporter.builder()
                                                                .setEndpoint(url)
                                                                .build())
                                                .build()));
        if (telemetry.spanLog()) {
            builder.addSpanProcessor(
                    BatchSpanProcessor.builder(new SpanLogExporter(spanLog)).build());
        }
        return new OtelSpanTracer(builder.build());
    }

    @Override
    public ActiveSpan start(String name, String traceParent, Map<String, Object> attributes) {
        Context parent =
                traceParent.isEmpty()
                        ? Context.root()
                        : W3CTraceContextPropagator.getInstance()
                                .extract(Context.root(), traceParent, GETTER);
        SpanBuilder builder = tracer.spanBuilder(name).setParent(parent);
        attributes.forEach((key, value) -> setAttribute(builder, key, value));
        Span span = builder.startSpan();
        return new ActiveSpan(
                traceParentOf(span),
                outcome -> {
                    span.setAttribute("outcome", outcome);
                    span.end();
                });
    }

    /** Exports the remaining spans, waiting at most {@value #CLOSE_TIMEOUT_MS} ms. */
    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static String traceParentOf(Span span) {
        AtomicReference<String> header = new AtomicReference<>("");
        W3CTraceContextPropagator.getInstance()
                .inject(
                        Context.root().with(span),
                        header,
                        (carrier, key, value) -> {
                            if (TRACE_PARENT.equals(key)) {
                                carrier.set(value);
                            }
                        });
        return header.get();
    }

    private static void setAttribute(SpanBuilder builder, String key, Object value) {
        if (value instanceof Boolean flag) {
            builder.setAttribute(key, flag);
        } else if (value instanceof Double || value instanceof Float) {
            builder.setAttribute(key, ((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            builder.setAttribute(key, number.longValue());
        } else {
            builder.setAttribute(key, String.valueOf(value));
        }
    }
}
