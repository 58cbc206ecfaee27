package org.sequoiaspindle.core.protocol.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.claim.Claim;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.state.Outcome;

/** Reads claims from JSON. Every input gives a claim or a reason; unknown fields are ignored. */
public final class ClaimReader {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String WRONG_FIELD = "claim has a missing field or one of the wrong type";

    private ClaimReader() {}

    /** Claim of the text, or the reason why the text is not one. */
    public static Either<String, Claim> read(String text) {
        try {
            return claim(MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            return Either.left("claim is not JSON: " + e.getOriginalMessage());
        }
    }

    private static Either<String, Claim> claim(JsonNode node) {
        Option<String> attempt = text(node, "attempt");
        Option<String> digest = text(node, "digest");
        if (attempt.isEmpty() || digest.isEmpty()) {
            return Either.left(WRONG_FIELD);
        }
        if (!node.has("outcome")) {
            return Either.right(Claim.begun(attempt.get(), digest.get()));
        }
        return outcome(node)
                .map(ended -> Claim.begun(attempt.get(), digest.get()).finished(ended))
                .toEither(WRONG_FIELD);
    }

    private static Option<RecordedOutcome> outcome(JsonNode node) {
        Option<Outcome> outcome =
                text(node, "outcome")
                        .flatMap(
                                name ->
                                        Vector.of(Outcome.values())
                                                .find(value -> value.name().equals(name)));
        Option<String> answer = text(node, "answer");
        Option<String> reason = text(node, "reason");
        boolean hasWhole = node.path("whole").isBoolean();
        if (outcome.isEmpty() || answer.isEmpty() || reason.isEmpty() || !hasWhole) {
            return Option.none();
        }
        return Option.some(
                new RecordedOutcome(
                        outcome.get(),
                        answer.get(),
                        node.path("whole").booleanValue(),
                        reason.get()));
    }

    private static Option<String> text(JsonNode node, String field) {
        return Option.of(node.get(field)).filter(JsonNode::isTextual).map(JsonNode::textValue);
    }
}
