package org.sequoiaspindle.daemon.protocol.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * A JSON value with the number of its first line, for problem reports.
 *
 * @param line number of the line, from 1
 * @param value a {@code String}, a {@code Long}, a {@code Double}, a {@code Boolean}, a {@code
 *     Vector} of located values, a {@code Map} of located values by name, or null for any other
 *     value
 */
record LocatedJson(int line, Object value) {

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .build()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    /**
     * Parses a JSON document with comments; returns the line and the error if the document is
     * malformed.
     */
    static Either<SettingsProblem, LocatedJson> parse(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            LocatedJson root = read(parser);
            return parser.nextToken() == null
                    ? Either.right(root)
                    : Either.left(problem(line(parser), "remove what follows the object"));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return Either.left(problem(line, "correct the JSON: " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new IllegalStateException("a string can always be read", e);
        }
    }

    private static LocatedJson read(JsonParser parser) throws IOException {
        int line = line(parser);
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return new LocatedJson(line, readObject(parser));
        }
        if (token == JsonToken.START_ARRAY) {
            return new LocatedJson(line, readArray(parser));
        }
        if (token == JsonToken.VALUE_STRING) {
            return new LocatedJson(line, parser.getText());
        }
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return new LocatedJson(line, parser.getBooleanValue());
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return new LocatedJson(line, parser.getDoubleValue());
        }
        boolean isLong =
                token == JsonToken.VALUE_NUMBER_INT
                        && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
        return new LocatedJson(line, isLong ? parser.getLongValue() : null);
    }

    private static Map<String, LocatedJson> readObject(JsonParser parser) throws IOException {
        Map<String, LocatedJson> fields = LinkedHashMap.empty();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields = fields.put(name, read(parser));
        }
        return fields;
    }

    private static Vector<LocatedJson> readArray(JsonParser parser) throws IOException {
        Vector<LocatedJson> items = Vector.empty();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items = items.append(read(parser));
        }
        return items;
    }

    private static int line(JsonParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    private static SettingsProblem problem(int line, String message) {
        return new SettingsProblem(line, "", message);
    }
}
