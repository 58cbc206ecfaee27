package org.sequoiaspindle.daemon.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.nio.charset.StandardCharsets;

/** Encodes a span as one line of JSON. */
public final class SpanJson {

    private static final long NANOS_PER_MICRO = 1000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private SpanJson() {}

    /** Encodes a span as JSON without a line terminator. */
    public static String toJsonLine(SpanData span) {
        ObjectNode node =
                DaemonJson.newObject()
                        .put("span", span.getName())
                        .put("traceId", span.getTraceId())
                        .put("spanId", span.getSpanId())
                        .put("parentSpanId", span.getParentSpanId())
                        .put("startEpochMs", span.getStartEpochNanos() / NANOS_PER_MILLI)
                        .put(
                                "durationMicros",
                                (span.getEndEpochNanos() - span.getStartEpochNanos())
                                        / NANOS_PER_MICRO);
        ObjectNode attributes = node.putObject("attributes");
        span.getAttributes().forEach((key, value) -> attributes.putPOJO(key.getKey(), value));
        return new String(DaemonJson.toBytes(node), StandardCharsets.UTF_8);
    }
}
