package org.sequoiaspindle.cli.state;

import io.vavr.collection.Map;
import java.time.Instant;

/**
 * One line of an instance's log.
 *
 * @param source instance or file that the line comes from
 * @param eventName name of the event
 * @param fields fields of the event, with values as text
 */
public record LogLine(Instant time, String source, String eventName, Map<String, String> fields) {

    /** Value of a field, or an empty string if the line does not have the field. */
    public String field(String name) {
        return fields.getOrElse(name, "");
    }

    /** Value of a field as a number, or -1 if the field is missing or not a number. */
    public long numericField(String name) {
        String text = field(name);
        return text.matches("-?\\d{1,18}") ? Long.parseLong(text) : -1;
    }
}
