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

/**
 * Reads claims from JSON. Unknown fields are ignored; invalid input results in a reason, not an
 * exception.
 */
public final class ClaimReader {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String INVALID_FIELD_MESSAGE =
            "claim has a missing field or one of the wrong type";

    private ClaimReader() {}

    /** Returns the claim, or the reason why the string is not a valid claim. */
    public static Either<String, Claim> read(String json) {
        try {
            return claim(MAPPER.readTree(json));
        } catch (JsonProcessingException e) {
            return Either.left("claim is not JSON: " + e.getOriginalMessage());
        }
    }

    private static Either<String, Claim> claim(JsonNode node) {
        Option<String> attempt = string(node, "attempt");
        Option<String> digest = string(node, "digest");
        if (attempt.isEmpty() || digest.isEmpty()) {
            return Either.left(INVALID_FIELD_MESSAGE);
        }
        if (!node.has("outcome")) {
            return Either.right(Claim.unfinished(attempt.get(), digest.get()));
        }
        return outcome(node)
                .map(
                        recordedOutcome ->
                                Claim.unfinished(attempt.get(), digest.get())
                                        .withOutcome(recordedOutcome))
                .toEither(INVALID_FIELD_MESSAGE);
    }

    private static Option<RecordedOutcome> outcome(JsonNode node) {
        Option<Outcome> outcome =
                string(node, "outcome")
                        .flatMap(
                                name ->
                                        Vector.of(Outcome.values())
                                                .find(value -> value.name().equals(name)));
        Option<String> answer = string(node, "answer");
        Option<String> reason = string(node, "reason");
        boolean hasAnswerComplete = node.path("whole").isBoolean();
        if (outcome.isEmpty() || answer.isEmpty() || reason.isEmpty() || !hasAnswerComplete) {
            return Option.none();
        }
        return Option.some(
                new RecordedOutcome(
                        outcome.get(),
                        answer.get(),
                        node.path("whole").booleanValue(),
                        reason.get()));
    }

    private static Option<String> string(JsonNode node, String field) {
        return Option.of(node.get(field)).filter(JsonNode::isTextual).map(JsonNode::textValue);
    }
}
