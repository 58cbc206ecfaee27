package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.Vector;
import org.sequoiaspindle.bench.coordination.AnswerCheck;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestRecord;
import org.sequoiaspindle.bench.state.StageAttempt;

/** Reads JSON answers of entry instances. */
public final class AnswerReader {

    private AnswerReader() {}

    /**
     * Record of an answered request.
     *
     * @param body an answer without an outcome counts as a transport error
     */
    public static RequestRecord read(
            PlannedRequest request, long endNanos, String body, int reroutes) {
        JsonNode node = body.startsWith("{") ? Json.parse(body) : Json.object();
        String outcome = node.path("outcome").asText(RequestRecord.TRANSPORT_ERROR);
        String answer = node.path("answer").asText();
        Vector<StageAttempt> stages =
                Iterator.ofAll(node.path("stages")).map(AnswerReader::stage).toVector();
        return new RequestRecord(
                request,
                endNanos,
                outcome,
                node.path("reason").asText(),
                outcome.equals("ANSWERED") && AnswerCheck.isExpected(request, answer),
                stages,
                reroutes);
    }

    private static StageAttempt stage(JsonNode node) {
        return new StageAttempt(
                node.path("stage").asText(),
                node.path("endpoint").asText(),
                node.path("attempt").asInt(),
                node.path("outcome").asText(),
                node.path("waitMs").asLong(),
                node.path("serviceMs").asLong());
    }
}
