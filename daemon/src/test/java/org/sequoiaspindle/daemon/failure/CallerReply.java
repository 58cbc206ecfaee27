package org.sequoiaspindle.daemon.failure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import java.util.Optional;

/**
 * The response that a caller received, or the failure to receive it.
 *
 * @param status HTTP status, 0 if the connection was refused or closed early
 * @param body JSON body or data of the outcome event; a missing node if there was neither
 * @param events names of the events of a stream in order, empty if the response is not streamed
 * @param tokens data of the token events in order
 * @param failure why there is no complete response, empty if the response is complete
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

    /** Returns the concatenated text of the streamed tokens. */
    String streamedText() {
        return String.join("", tokens.stream().map(token -> token.path("text").asText()).toList());
    }
}
