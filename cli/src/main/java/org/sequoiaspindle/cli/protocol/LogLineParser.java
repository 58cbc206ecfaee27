package org.sequoiaspindle.cli.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.time.Instant;
import org.sequoiaspindle.cli.state.LogLine;

/** Reads log lines; a collector may have put words before the JSON object of a line. */
final class LogLineParser {

    private static final String START = "{\"time\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LogLineParser() {}

    /**
     * The line, empty if it is torn or none of ours.
     *
     * @param file source of lines without words before them
     */
    static Option<LogLine> parse(String file, String text) {
        int start = text.indexOf(START);
        if (start < 0) {
            return Option.none();
        }
        String[] before = text.substring(0, start).strip().split("\\s+");
        String word = before[before.length - 1];
        return read(text.substring(start))
                .flatMap(node -> line(word.isEmpty() ? file : word, node));
    }

    private static Option<JsonNode> read(String json) {
        try {
            return Option.of(MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            return Option.none();
        }
    }

    private static Option<LogLine> line(String source, JsonNode node) {
        return Try.of(() -> Instant.parse(node.path("time").asText()))
                .toOption()
                .filter(at -> node.path("name").isTextual())
                .map(at -> new LogLine(at, source, node.path("name").asText(), fields(node)));
    }

    private static Map<String, String> fields(JsonNode node) {
        Map<String, String> fields = HashMap.empty();
        for (var entry : node.path("fields").properties()) {
            fields = fields.put(entry.getKey(), entry.getValue().asText());
        }
        return fields;
    }
}
