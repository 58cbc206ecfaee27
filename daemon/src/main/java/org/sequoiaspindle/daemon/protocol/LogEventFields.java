package org.sequoiaspindle.daemon.protocol;

import io.vavr.collection.Map;
import java.util.LinkedHashMap;
import org.sequoiaspindle.core.common.LogEvent;

/** Converts log events to the fields of a JSON log line. */
public final class LogEventFields {

    private static final String TRACE_ID = "traceId";

    private LogEventFields() {}

    /**
     * Returns the fields of one log line. A trace id among the event's fields becomes a field of
     * the line itself.
     */
    public static java.util.Map<String, Object> of(LogEvent event, Map<String, Object> fields) {
        java.util.Map<String, Object> nested = new LinkedHashMap<>();
        fields.remove(TRACE_ID).forEach((name, value) -> nested.put(name, jsonValue(value)));
        java.util.Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", event.number());
        line.put("name", event.name());
        line.put("message", event.message());
        line.put("fields", nested);
        line.put(TRACE_ID, fields.get(TRACE_ID).map(String::valueOf).getOrElse(""));
        return line;
    }

    private static Object jsonValue(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : String.valueOf(value);
    }
}
