package org.sequoiaspindle.standins.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * Stage call that an endpoint receives.
 *
 * @param deadlineMs time left on arrival, in milliseconds; absent if the call has no deadline
 * @param priority calls with lower values run first
 * @param streams whether the caller accepts a stream of events
 * @param maxTokens length of the whole answer in tokens, counted from position 0
 * @param resumeFrom position of the first token to send
 * @param resumeText text of the tokens before the position {@code resumeFrom}
 */
record ExecuteRequest(
        String requestId,
        long attempt,
        String stage,
        OptionalLong deadlineMs,
        int priority,
        boolean streams,
        String input,
        long maxTokens,
        long resumeFrom,
        String resumeText) {

    private static final String JSON_TYPE = "application/json";

    /**
     * Parses a stage call.
     *
     * @throws IllegalArgumentException if the call is malformed
     */
    static ExecuteRequest of(FullRequest request) {
        JsonNode body = StandinJson.parse(request.body().toUtf8String());
        if (!body.path("input").isTextual()) {
            throw new IllegalArgumentException("field \"input\" of the body must be a string");
        }
        return new ExecuteRequest(
                request.header("sequoia-request-id").orElse(""),
                request.header("sequoia-attempt").map(Long::parseLong).orElse(1L),
                request.header("sequoia-stage").orElse(""),
                request.header("sequoia-deadline-ms")
                        .map(value -> OptionalLong.of(Long.parseLong(value)))
                        .orElseGet(OptionalLong::empty),
                request.header("sequoia-priority").map(Integer::parseInt).orElse(0),
                request.header("accept").filter(JSON_TYPE::equals).isEmpty(),
                body.path("input").asText(),
                body.path("maxTokens").asLong(0),
                body.path("resumeFrom").asLong(0),
                body.path("resumeText").asText(""));
    }
}
