package org.sequoiaspindle.core.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedArray;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedBoolean;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedNull;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedNumber;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedString;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;

/** Parses JSON with comments and trailing commas into values with line numbers. */
final class LocatedValueParser {

    /**
     * Limit for the size of a document: 22 parts of at most 1 MB each, rounded down to a power of
     * two. A document with 12,000 endpoints has about 2 MB.
     */
    static final int MAX_DOCUMENT_CHARACTERS = 16 * 1024 * 1024;

    /** Limits the recursion depth; the values of an object set are nested four levels deep. */
    private static final int MAX_NESTING = 16;

    private static final int MAX_STRING_CHARACTERS = 64 * 1024;
    private static final int MAX_NAME_CHARACTERS = 1024;
    private static final int MAX_NUMBER_CHARACTERS = 64;

    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    // Messages must not quote the document, because the document may contain a
                    // secret.
                    .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING)
                                    .maxStringLength(MAX_STRING_CHARACTERS)
                                    .maxNameLength(MAX_NAME_CHARACTERS)
                                    .maxNumberLength(MAX_NUMBER_CHARACTERS)
                                    .build())
                    .build();

    private LocatedValueParser() {}

    /** Returns the value of the document, or the first syntax error. */
    static Either<ValidationProblem, LocatedValue> parse(String document) {
        if (document.length() > MAX_DOCUMENT_CHARACTERS) {
            return Either.left(
                    problem(
                            "too-large",
                            "the document has %d characters but may have %d"
                                    .formatted(document.length(), MAX_DOCUMENT_CHARACTERS)));
        }
        try (JsonParser parser = FACTORY.createParser(document)) {
            if (parser.nextToken() == null) {
                return Either.left(problem("malformed-json", "the document is empty"));
            }
            LocatedValue value = parseValue(parser);
            if (parser.nextToken() != null) {
                return Either.left(
                        syntaxError(currentLine(parser), "text after the end of the document"));
            }
            return Either.right(value);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return Either.left(syntaxError(line, e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(problem("malformed-json", e.getMessage()));
        }
    }

    private static LocatedValue parseValue(JsonParser parser) throws IOException {
        int line = currentLine(parser);
        return switch (parser.currentToken()) {
            case START_OBJECT -> new LocatedObject(line, parseMembers(parser));
            case START_ARRAY -> new LocatedArray(line, parseItems(parser));
            case VALUE_STRING -> new LocatedString(line, parser.getText());
            case VALUE_NUMBER_INT -> new LocatedNumber(line, parser.getText(), true);
            case VALUE_NUMBER_FLOAT -> new LocatedNumber(line, parser.getText(), false);
            case VALUE_TRUE -> new LocatedBoolean(line, true);
            case VALUE_FALSE -> new LocatedBoolean(line, false);
            default -> new LocatedNull(line);
        };
    }

    private static Vector<Member> parseMembers(JsonParser parser) throws IOException {
        List<Member> members = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            int line = currentLine(parser);
            String name = parser.currentName();
            parser.nextToken();
            members.add(new Member(line, name, parseValue(parser)));
        }
        return Vector.ofAll(members);
    }

    private static Vector<LocatedValue> parseItems(JsonParser parser) throws IOException {
        List<LocatedValue> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(parseValue(parser));
        }
        return Vector.ofAll(items);
    }

    private static int currentLine(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    private static ValidationProblem syntaxError(int line, String message) {
        return problem(
                "malformed-json",
                "line %d: %s; correct the JSON there".formatted(line, firstLine(message)));
    }

    private static String firstLine(String message) {
        return ObjectNames.printable(message.lines().findFirst().orElse("not JSON"));
    }

    private static ValidationProblem problem(String code, String message) {
        return new ValidationProblem(code, "", "", "", message);
    }
}
