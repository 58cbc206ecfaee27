package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes JSON; comments are allowed in the input. */
public final class StandinJson {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

    private StandinJson() {}

    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value cannot be written as JSON", e);
        }
    }

    /**
     * Parses a document.
     *
     * @throws IllegalArgumentException if the document is malformed
     */
    public static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("malformed JSON: " + e.getOriginalMessage(), e);
        }
    }
}
