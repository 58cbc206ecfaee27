package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Creates, parses and formats JSON trees. */
public final class BenchJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BenchJson() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /**
     * Parses a JSON text.
     *
     * @throws IllegalArgumentException if the text is not valid JSON
     */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid JSON: " + text, e);
        }
    }

    /** Formats a tree with one field per line. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
