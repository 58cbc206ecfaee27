package org.sequoiaspindle.daemon.protocol;

import io.vavr.collection.Map;
import java.util.LinkedHashMap;
import org.sequoiaspindle.core.common.LogEvent;

/** Turns log events into the fields of a JSON line. */
public final class LogEventFields {

    private static final String TRACE_ID = "traceId";

    private LogEventFields() {}

    /** Fields of one line; a trace id among the event's fields stands beside them. */
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
