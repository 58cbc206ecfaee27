package org.sequoiaspindle.core.coordination.claim;

import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Outcome of a request with an idempotency key, as recorded in its claim and returned to repeats of
 * the request.
 *
 * @param outcome outcome of the request
 * @param answer answer of the request, at most {@link #MAX_ANSWER_BYTES} in UTF-8
 * @param answerComplete whether the answer is complete; a longer answer is truncated and must not
 *     be presented as complete
 * @param reason name of the reason for the outcome, empty for an answered request
 */
public record RecordedOutcome(
        Outcome outcome, String answer, boolean answerComplete, String reason) {
    /** Maximum length of a recorded answer in bytes of UTF-8. */
    public static final int MAX_ANSWER_BYTES = 64 * 1024;

    /**
     * Returns the outcome with the answer truncated to {@link #MAX_ANSWER_BYTES}, between two
     * characters.
     */
    public static RecordedOutcome of(Outcome outcome, String answer, String reason) {
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MAX_ANSWER_BYTES) {
            return new RecordedOutcome(outcome, answer, true, reason);
        }
        int end = MAX_ANSWER_BYTES;
        while (isContinuationByte(bytes[end])) {
            end--;
        }
        String truncatedAnswer = new String(bytes, 0, end, StandardCharsets.UTF_8);
        return new RecordedOutcome(outcome, truncatedAnswer, false, reason);
    }

    private static boolean isContinuationByte(byte value) {
        return (value & 0xC0) == 0x80;
    }
}
