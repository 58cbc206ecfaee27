package org.sequoiaspindle.bench.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sequoiaspindle.bench.coordination.AnswerCheck;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.RequestRecord;

/** Guards against truncated, swapped or missing answers that count as attained. */
final class AnswerReaderTest {

    private static final PlannedRequest CHAT = chat("first", 20);

    @Test
    void answerOfTheSameInputIsAccepted() {
        assertTrue(AnswerCheck.isExpected(CHAT, AnswerCheck.expected(CHAT)));
    }

    @Test
    void truncatedOrForeignAnswerIsNotAccepted() {
        assertFalse(AnswerCheck.isExpected(CHAT, AnswerCheck.expected(chat("first", 19))));
        assertFalse(AnswerCheck.isExpected(CHAT, AnswerCheck.expected(chat("second", 20))));
        assertFalse(AnswerCheck.isExpected(CHAT, ""));
    }

    @Test
    void wholeAnswerIsAttainedUpToTheDeadlineOnly() {
        assertTrue(answered(AnswerCheck.expected(CHAT), 2500).isAttained());
        assertFalse(answered(AnswerCheck.expected(CHAT), 2501).isAttained());
        assertFalse(answered("another answer", 1).isAttained());
    }

    @Test
    void bodyWithoutOutcomeIsATransportError() {
        assertEquals(
                RequestRecord.TRANSPORT_ERROR,
                AnswerReader.read(CHAT, 0, "Bad Gateway", 0).outcome());
    }

    private static RequestRecord answered(String answer, long endMs) {
        String body = Json.object().put("outcome", "ANSWERED").put("answer", answer).toString();
        return AnswerReader.read(CHAT, endMs * 1_000_000, body, 0);
    }

    private static PlannedRequest chat(String input, int tokens) {
        return new PlannedRequest(0, RequestClass.CHAT, "large-1", input, tokens, 0);
    }
}
