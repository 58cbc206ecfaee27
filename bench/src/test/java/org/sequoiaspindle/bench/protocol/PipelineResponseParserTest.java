package org.sequoiaspindle.bench.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sequoiaspindle.bench.coordination.AnswerVerifier;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;

/** Guards against truncated, swapped, missing or late answers that count as correct. */
final class PipelineResponseParserTest {

    private static final PlannedRequest CHAT = chat("first", 20);

    @Test
    void expectedAnswerIsAccepted() {
        assertTrue(AnswerVerifier.isCorrect(CHAT, AnswerVerifier.expectedAnswer(CHAT)));
    }

    @Test
    void truncatedAnswerOrAnswerToAnotherRequestIsRejected() {
        assertFalse(
                AnswerVerifier.isCorrect(CHAT, AnswerVerifier.expectedAnswer(chat("first", 19))));
        assertFalse(
                AnswerVerifier.isCorrect(CHAT, AnswerVerifier.expectedAnswer(chat("second", 20))));
        assertFalse(AnswerVerifier.isCorrect(CHAT, ""));
    }

    @Test
    void correctAnswerCountsAsInTimeUpToTheDeadlineOnly() {
        assertTrue(
                parseAnsweredRequest(AnswerVerifier.expectedAnswer(CHAT), 2500).isAnsweredInTime());
        assertFalse(
                parseAnsweredRequest(AnswerVerifier.expectedAnswer(CHAT), 2501).isAnsweredInTime());
        assertFalse(parseAnsweredRequest("another answer", 1).isAnsweredInTime());
    }

    @Test
    void bodyWithoutOutcomeIsATransportError() {
        assertEquals(
                MeasuredRequest.TRANSPORT_ERROR,
                PipelineResponseParser.parse(CHAT, 0, "Bad Gateway", 0).outcome());
    }

    private static MeasuredRequest parseAnsweredRequest(String answer, long endMs) {
        String body =
                BenchJson.object().put("outcome", "ANSWERED").put("answer", answer).toString();
        return PipelineResponseParser.parse(CHAT, endMs * 1_000_000, body, 0);
    }

    private static PlannedRequest chat(String input, int tokens) {
        return new PlannedRequest(0, RequestClass.CHAT, "large-1", input, tokens, 0);
    }
}
