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

/** Parses log lines. A log collector may have put a prefix before the JSON object of a line. */
final class LogLineParser {

    private static final String JSON_PREFIX = "{\"time\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LogLineParser() {}

    /**
     * Parses a line. The last word before the JSON object, if any, is the source of the line.
     *
     * @param file source of a line without such a prefix
     * @return the parsed line, or none if the line is truncated or not a log line of an instance
     */
    static Option<LogLine> parse(String file, String line) {
        int jsonStart = line.indexOf(JSON_PREFIX);
        if (jsonStart < 0) {
            return Option.none();
        }
        String[] prefixWords = line.substring(0, jsonStart).strip().split("\\s+");
        String lastWord = prefixWords[prefixWords.length - 1];
        return parseJson(line.substring(jsonStart))
                .flatMap(node -> toLogLine(lastWord.isEmpty() ? file : lastWord, node));
    }

    private static Option<JsonNode> parseJson(String json) {
        try {
            return Option.of(MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            return Option.none();
        }
    }

    private static Option<LogLine> toLogLine(String source, JsonNode node) {
        return Try.of(() -> Instant.parse(node.path("time").asText()))
                .toOption()
                .filter(time -> node.path("name").isTextual())
                .map(time -> new LogLine(time, source, node.path("name").asText(), fields(node)));
    }

    private static Map<String, String> fields(JsonNode node) {
        Map<String, String> fields = HashMap.empty();
        for (var entry : node.path("fields").properties()) {
            fields = fields.put(entry.getKey(), entry.getValue().asText());
        }
        return fields;
    }
}
