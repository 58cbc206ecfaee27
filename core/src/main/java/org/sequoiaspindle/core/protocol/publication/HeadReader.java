package org.sequoiaspindle.core.protocol.publication;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead.PartReference;

/**
 * Reads heads from JSON. Never throws: invalid input yields a reason. Unknown fields are ignored.
 */
public final class HeadReader {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private HeadReader() {}

    /** Parses a head, or returns the reason why the string is not a valid head. */
    public static Either<String, ConfigurationHead> read(String text) {
        try {
            return parseHead(MAPPER.readTree(text))
                    .toEither("head has a missing field or a field of the wrong type");
        } catch (JsonProcessingException e) {
            return Either.left("head is not JSON: " + e.getOriginalMessage());
        }
    }

    private static Option<ConfigurationHead> parseHead(JsonNode node) {
        return parseInteger(node.get("generation"))
                .filter(generation -> generation > 0)
                .flatMap(generation -> parseHead(node, generation));
    }

    private static Option<ConfigurationHead> parseHead(JsonNode node, long generation) {
        Option<String> submission = parseText(node.get("submissionId"));
        Option<String> operator = parseText(node.get("operator"));
        Option<Long> publishedAt = parseInteger(node.get("publishedAtMs"));
        Option<Vector<String>> recent =
                parseArray(node.get("recentSubmissions"), HeadReader::parseText);
        Option<Vector<PartReference>> parts = parseArray(node.get("parts"), HeadReader::parsePart);
        if (submission.isEmpty()
                || operator.isEmpty()
                || publishedAt.isEmpty()
                || recent.isEmpty()
                || parts.isEmpty()) {
            return Option.none();
        }
        return Option.some(
                new ConfigurationHead(
                        generation,
                        submission.get(),
                        operator.get(),
                        publishedAt.get(),
                        recent.get(),
                        parts.get()));
    }

    private static Option<PartReference> parsePart(JsonNode node) {
        Option<String> kind = parseText(node.get("kind"));
        Option<Long> bucket =
                parseInteger(node.get("bucket"))
                        .filter(number -> number >= 0 && number <= Integer.MAX_VALUE);
        Option<String> digest = parseText(node.get("digest")).filter(Sha256::isWellFormed);
        if (kind.isEmpty() || bucket.isEmpty() || digest.isEmpty()) {
            return Option.none();
        }
        return Option.some(new PartReference(kind.get(), bucket.get().intValue(), digest.get()));
    }

    private static Option<String> parseText(JsonNode node) {
        return Option.of(node).filter(JsonNode::isTextual).map(JsonNode::textValue);
    }

    private static Option<Long> parseInteger(JsonNode node) {
        return Option.of(node)
                .filter(value -> value.isIntegralNumber() && value.canConvertToLong())
                .map(JsonNode::longValue);
    }

    private static <T> Option<Vector<T>> parseArray(
            JsonNode node, Function<JsonNode, Option<T>> element) {
        if (node == null || !node.isArray()) {
            return Option.none();
        }
        return Option.sequence(Vector.ofAll(node).map(element)).map(Vector::ofAll);
    }
}
