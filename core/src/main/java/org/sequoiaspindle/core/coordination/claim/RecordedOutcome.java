package org.sequoiaspindle.core.coordination.claim;

import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.core.state.Outcome;

/**
 * What became of a claimed request, as it is replayed to a repeat.
 *
 * @param outcome outcome of the request
 * @param answer answer, at most {@link #MAX_ANSWER_BYTES} in UTF-8
 * @param whole whether the answer is whole; a longer one was cut off and must not be presented as
 *     whole
 * @param reason name of the reason, empty for an answered request
 */
public record RecordedOutcome(Outcome outcome, String answer, boolean whole, String reason) {
    /** Longest recorded answer, in bytes of UTF-8. */
    public static final int MAX_ANSWER_BYTES = 64 * 1024;

    /** Outcome with the answer cut off at the longest recorded length. */
    public static RecordedOutcome of(Outcome outcome, String answer, String reason) {
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MAX_ANSWER_BYTES) {
            return new RecordedOutcome(outcome, answer, true, reason);
        }
        int end = MAX_ANSWER_BYTES;
        while (isContinuation(bytes[end])) {
            end--;
        }
        String cut = new String(bytes, 0, end, StandardCharsets.UTF_8);
        return new RecordedOutcome(outcome, cut, false, reason);
    }

    private static boolean isContinuation(byte value) {
        return (value & 0xC0) == 0x80;
    }
}
