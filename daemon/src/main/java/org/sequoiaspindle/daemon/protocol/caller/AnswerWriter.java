package org.sequoiaspindle.daemon.protocol.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.AttemptReport;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Maps answers to HTTP statuses and JSON. */
public final class AnswerWriter {

    private AnswerWriter() {}

    /** Returns the HTTP status of an answer that is not streamed. */
    public static int status(Answer answer) {
        return switch (answer.outcome()) {
            case ANSWERED -> 200;
            case NOT_RUN -> notRunStatus(answer.reason());
            case FAILED, UNKNOWN -> 502;
            case DEADLINE_EXCEEDED -> 504;
        };
    }

    /** Encodes an answer as the body of a response or the data of an {@code outcome} event. */
    public static byte[] toJson(Answer answer, String traceId) {
        ObjectNode node =
                DaemonJson.newObject()
                        .put("outcome", answer.outcome().name())
                        .put("answer", answer.output())
                        .put("reason", answer.reason().name())
                        .put("detail", answer.detail())
                        .put("requestId", answer.requestId().value())
                        .put("generation", answer.generation());
        ArrayNode stages = node.putArray("stages");
        answer.attempts().forEach(report -> stages.add(stageJson(report)));
        return DaemonJson.toBytes(node.put("traceId", traceId));
    }

    /** Encodes a token as the data of a {@code token} event. */
    public static byte[] toJson(Token token) {
        return DaemonJson.toBytes(
                DaemonJson.newObject().put("position", token.position()).put("text", token.text()));
    }

    /** Converts a rejection to an answer without a request id. */
    public static Answer toAnswer(HttpRejection rejection) {
        return new Answer(
                new RequestId(""),
                Outcome.NOT_RUN,
                rejection.reason(),
                rejection.detail(),
                "",
                0,
                Vector.empty());
    }

    private static int notRunStatus(OutcomeReason reason) {
        return switch (reason) {
            case UNAUTHENTICATED -> 401;
            case FORBIDDEN -> 403;
            case UNKNOWN_PIPELINE -> 404;
            case MALFORMED -> 400;
            case OVER_LIMIT -> 429;
            default -> 503;
        };
    }

    private static ObjectNode stageJson(AttemptReport report) {
        return DaemonJson.newObject()
                .put("stage", report.stage())
                .put("endpoint", report.endpoint())
                .put("attempt", report.attempt())
                .put("outcome", report.result())
                .put("waitMs", report.waitMillis())
                .put("serviceMs", report.serviceMillis());
    }
}
