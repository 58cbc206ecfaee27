package org.sequoiaspindle.cli.state;

import io.vavr.collection.Map;
import java.time.Instant;

/**
 * One line of an instance's log.
 *
 * @param source instance or file that it comes from
 * @param name name of the event
 * @param fields fields of the event as text
 */
public record LogLine(Instant at, String source, String name, Map<String, String> fields) {

    /** Value of a field, empty if the line does not have it. */
    public String field(String field) {
        return fields.getOrElse(field, "");
    }

    /** Number in a field, -1 if the line does not have one. */
    public long number(String field) {
        String text = field(field);
        return text.matches("-?\\d{1,18}") ? Long.parseLong(text) : -1;
    }
}
