package org.sequoiaspindle.daemon.failure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.Optional;

/**
 * The response that a caller received.
 *
 * @param status HTTP status, 0 if the connection was refused or closed early
 * @param body the JSON answer or the data of the outcome event; missing if there was none
 * @param events names of the events of a stream in order, empty for other answers
 * @param tokens data of the token events in order
 * @param failure why there is no complete response, empty if there is one
 */
record CallerReply(
        int status,
        JsonNode body,
        List<String> events,
        List<JsonNode> tokens,
        Optional<Throwable> failure) {

    static CallerReply incomplete(Throwable failure) {
        return new CallerReply(
                0, MissingNode.getInstance(), List.of(), List.of(), Optional.of(failure));
    }

    boolean isIncomplete() {
        return failure.isPresent();
    }

    String outcome() {
        return body.path("outcome").asText("");
    }

    boolean isAnswered() {
        return outcome().equals("ANSWERED");
    }

    String answer() {
        return body.path("answer").asText();
    }

    /** Concatenated texts of the streamed tokens. */
    String streamedText() {
        return String.join("", tokens.stream().map(token -> token.path("text").asText()).toList());
    }
}
