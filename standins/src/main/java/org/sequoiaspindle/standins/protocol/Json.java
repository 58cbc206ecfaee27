package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes JSON; comments are allowed in what is read. */
public final class Json {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

    private Json() {}

    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value has no JSON form", e);
        }
    }

    /**
     * Parses a document.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    public static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("malformed JSON: " + e.getOriginalMessage(), e);
        }
    }
}
