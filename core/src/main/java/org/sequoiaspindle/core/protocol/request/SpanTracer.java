package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Map;
import java.util.function.Consumer;

/** Starts the trace spans of requests and their attempts. Thread-safe. */
@FunctionalInterface
public interface SpanTracer {

    /** Tracer that records nothing. */
    SpanTracer NONE = (name, parent, attributes) -> new ActiveSpan("", outcome -> {});

    /**
     * Starts a span.
     *
     * @param name name of the span
     * @param traceParent W3C trace context of the parent, empty to start a trace
     * @param attributes attributes of the span
     */
    ActiveSpan start(String name, String traceParent, Map<String, Object> attributes);

    /**
     * A span in progress.
     *
     * @param traceParent W3C trace context of this span, empty if none is recorded
     * @param finish ends the span with its outcome
     */
    record ActiveSpan(String traceParent, Consumer<String> finish) {

        public void end(String outcome) {
            finish.accept(outcome);
        }
    }
}
