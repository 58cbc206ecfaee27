package org.sequoiaspindle.daemon.transport.telemetry;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.function.Consumer;
import org.sequoiaspindle.daemon.protocol.SpanJson;

/** Exports each span as one line of JSON. */
final class SpanLogExporter implements SpanExporter {

    private final Consumer<String> lineConsumer;

    SpanLogExporter(Consumer<String> lineConsumer) {
        this.lineConsumer = lineConsumer;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(span -> lineConsumer.accept(SpanJson.toJsonLine(span)));
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
