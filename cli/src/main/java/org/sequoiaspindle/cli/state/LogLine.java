package org.sequoiaspindle.cli.state;

import io.vavr.collection.Map;
import java.time.Instant;

/**
 * One line of the log of an instance.
 *
 * @param source name of the instance or file that contains the line
 * @param eventName name of the event
 * @param fields fields of the event by name, with values as strings
 */
public record LogLine(Instant time, String source, String eventName, Map<String, String> fields) {

    /** Returns the value of a field, or an empty string if the line does not have the field. */
    public String field(String name) {
        return fields.getOrElse(name, "");
    }

    /** Returns the value of a field as a number, or -1 if the field is missing or not a number. */
    public long numericField(String name) {
        String value = field(name);
        return value.matches("-?\\d{1,18}") ? Long.parseLong(value) : -1;
    }
}
