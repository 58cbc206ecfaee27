package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.Vector;
import org.sequoiaspindle.bench.coordination.AnswerVerifier;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.StageAttempt;

/** Parses JSON responses of entry instances to pipeline requests. */
public final class PipelineResponseParser {

    private PipelineResponseParser() {}

    /**
     * Parses the response to a request.
     *
     * @param body response body; a body without an outcome counts as a transport error
     */
    public static MeasuredRequest parse(
            PlannedRequest request, long endNanos, String body, int reroutes) {
        JsonNode node = body.startsWith("{") ? BenchJson.parse(body) : BenchJson.object();
        String outcome = node.path("outcome").asText(MeasuredRequest.TRANSPORT_ERROR);
        String answer = node.path("answer").asText();
        Vector<StageAttempt> stages =
                Iterator.ofAll(node.path("stages"))
                        .map(PipelineResponseParser::toStageAttempt)
                        .toVector();
        return new MeasuredRequest(
                request,
                endNanos,
                outcome,
                node.path("reason").asText(),
                outcome.equals("ANSWERED") && AnswerVerifier.isCorrect(request, answer),
                stages,
                reroutes);
    }

    private static StageAttempt toStageAttempt(JsonNode node) {
        return new StageAttempt(
                node.path("stage").asText(),
                node.path("endpoint").asText(),
                node.path("attempt").asInt(),
                node.path("outcome").asText(),
                node.path("waitMs").asLong(),
                node.path("serviceMs").asLong());
    }
}
