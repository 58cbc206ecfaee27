package org.sequoiaspindle.core.protocol.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.claim.Claim;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.state.Outcome;

/** Checks that claims are read as they were written and that invalid text causes no exception. */
final class ClaimCodecTest {
    @Property(tries = 300, seed = "1")
    void writtenClaimIsReadBackUnchanged(
            @ForAll String attempt,
            @ForAll String digest,
            @ForAll Outcome outcome,
            @ForAll String answer) {
        Claim begun = Claim.begun(attempt, digest);
        Claim finished = begun.finished(RecordedOutcome.of(outcome, answer, "reason"));
        assertEquals(Either.right(begun), ClaimReader.read(ClaimWriter.write(begun)));
        assertEquals(Either.right(finished), ClaimReader.read(ClaimWriter.write(finished)));
    }

    @Property(tries = 300, seed = "2")
    void arbitraryTextNeverThrows(@ForAll String text) {
        assertTrue(ClaimReader.read(text).isLeft());
    }

    @Test
    void unknownOutcomeIsNotTakenForAnUnfinishedClaim() {
        String text =
                ClaimWriter.write(
                        Claim.begun("a", "d")
                                .finished(RecordedOutcome.of(Outcome.FAILED, "", "reason")));
        assertTrue(ClaimReader.read(text).isRight());
        assertTrue(ClaimReader.read(text.replace("FAILED", "LATER_OUTCOME")).isLeft());
        assertTrue(ClaimReader.read(text.replace("true", "1")).isLeft());
    }
}
