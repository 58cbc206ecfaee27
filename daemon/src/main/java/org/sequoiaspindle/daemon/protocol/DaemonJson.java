package org.sequoiaspindle.daemon.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.io.IOException;

/** Parses and encodes the JSON of the daemon's messages. */
public final class DaemonJson {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private DaemonJson() {}

    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Parses a JSON object; returns none if the bytes are malformed or another kind of value. */
    public static Option<JsonNode> parseObject(byte[] bytes) {
        return parse(bytes).filter(JsonNode::isObject);
    }

    /** Parses a JSON array; returns none if the bytes are malformed or another kind of value. */
    public static Option<JsonNode> parseArray(byte[] bytes) {
        return parse(bytes).filter(JsonNode::isArray);
    }

    private static Option<JsonNode> parse(byte[] bytes) {
        try {
            return Option.of(MAPPER.readTree(bytes));
        } catch (IOException e) {
            return Option.none();
        }
    }

    /** Parses a JSON object; returns none if the string is malformed or another kind of value. */
    public static Option<JsonNode> parseObject(String text) {
        try {
            return Option.of(MAPPER.readTree(text)).filter(JsonNode::isObject);
        } catch (JsonProcessingException e) {
            return Option.none();
        }
    }

    /** Returns a string field, or none if it is absent or of another type. */
    public static Option<String> stringField(JsonNode object, String field) {
        return Option.of(object.get(field)).filter(JsonNode::isTextual).map(JsonNode::textValue);
    }

    /**
     * Returns an integer field, or none if it is absent, of another type or does not fit into 64
     * bits.
     */
    public static Option<Long> longField(JsonNode object, String field) {
        return Option.of(object.get(field))
                .filter(node -> node.isIntegralNumber() && node.canConvertToLong())
                .map(JsonNode::longValue);
    }

    /**
     * Returns an integer field, or none if it is absent, of another type or does not fit into 32
     * bits.
     */
    public static Option<Integer> intField(JsonNode object, String field) {
        return longField(object, field)
                .filter(value -> value == value.intValue())
                .map(Long::intValue);
    }

    public static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
    }
}
