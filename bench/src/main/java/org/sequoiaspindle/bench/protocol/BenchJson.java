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
     * Parses a JSON document.
     *
     * @throws IllegalArgumentException if the document is not valid JSON
     */
    public static JsonNode parse(String document) {
        try {
            return MAPPER.readTree(document);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid JSON: " + document, e);
        }
    }

    /** Formats a tree with one field per line. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
