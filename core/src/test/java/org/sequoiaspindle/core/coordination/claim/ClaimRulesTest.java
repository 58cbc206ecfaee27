package org.sequoiaspindle.core.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.Outcome;

/** Checks the limits of idempotency keys and of recorded answers. */
final class ClaimRulesTest {
    private static final long NOW = 1_800_000_000_000L;

    @Test
    void keysAreUsableFromOneHourAheadToTwentyThreeHoursOld() {
        assertEquals(KeyValidity.MALFORMED, validity(NOW + KeyRule.MAX_AHEAD_MS + 1));
        assertEquals(KeyValidity.USABLE, validity(NOW + KeyRule.MAX_AHEAD_MS));
        assertEquals(KeyValidity.USABLE, validity(NOW - KeyRule.MAX_AGE_MS));
        assertEquals(KeyValidity.EXPIRED, validity(NOW - KeyRule.MAX_AGE_MS - 1));
        assertEquals(KeyValidity.EXPIRED, validity(0));
    }

    @Test
    void keysOfAnyOtherFormAreMalformed() {
        for (String key :
                new String[] {
                    "",
                    "-",
                    "-r",
                    NOW + "",
                    NOW + "-",
                    "+" + NOW + "-r",
                    " " + NOW + "-r",
                    "9".repeat(19) + "-r",
                    "٣-r",
                    NOW + "-" + "r".repeat(200)
                }) {
            assertEquals(KeyValidity.MALFORMED, KeyRule.validity(key, NOW), key);
        }
    }

    @Property(tries = 500, seed = "1")
    void noKeyCausesAnException(@ForAll String key) {
        KeyRule.validity(key, NOW);
    }

    @Property(tries = 100, seed = "2")
    void longAnswersAreTruncatedBetweenCharactersAndMarked(
            @ForAll @IntRange(min = 0, max = 5) int shift) {
        String answer = "x".repeat(shift) + "é€😀".repeat(RecordedOutcome.MAX_ANSWER_BYTES / 9 + 1);
        RecordedOutcome recordedOutcome = RecordedOutcome.of(Outcome.ANSWERED, answer, "");
        int length = recordedOutcome.answer().getBytes(StandardCharsets.UTF_8).length;
        assertFalse(recordedOutcome.answerComplete());
        assertTrue(answer.startsWith(recordedOutcome.answer()));
        assertTrue(length <= RecordedOutcome.MAX_ANSWER_BYTES);
        assertTrue(length > RecordedOutcome.MAX_ANSWER_BYTES - 4);
    }

    @Test
    void answerOfMaximumLengthIsRecordedCompletely() {
        String answer = "x".repeat(RecordedOutcome.MAX_ANSWER_BYTES);
        RecordedOutcome recordedOutcome = RecordedOutcome.of(Outcome.ANSWERED, answer, "");
        assertEquals(new RecordedOutcome(Outcome.ANSWERED, answer, true, ""), recordedOutcome);
    }

    private static KeyValidity validity(long issuedAt) {
        return KeyRule.validity(issuedAt + "-r", NOW);
    }
}
