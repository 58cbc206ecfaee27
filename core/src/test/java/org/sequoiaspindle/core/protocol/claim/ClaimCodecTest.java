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

/** Checks that claims are read as they were written and that invalid strings cause no exception. */
final class ClaimCodecTest {
    @Property(tries = 300, seed = "1")
    void writtenClaimIsReadBackUnchanged(
            @ForAll String attempt,
            @ForAll String digest,
            @ForAll Outcome outcome,
            @ForAll String answer) {
        Claim unfinishedClaim = Claim.unfinished(attempt, digest);
        Claim finishedClaim =
                unfinishedClaim.withOutcome(RecordedOutcome.of(outcome, answer, "reason"));
        assertEquals(
                Either.right(unfinishedClaim),
                ClaimReader.read(ClaimWriter.write(unfinishedClaim)));
        assertEquals(
                Either.right(finishedClaim), ClaimReader.read(ClaimWriter.write(finishedClaim)));
    }

    @Property(tries = 300, seed = "2")
    void arbitraryStringIsRejectedWithoutException(@ForAll String json) {
        assertTrue(ClaimReader.read(json).isLeft());
    }

    @Test
    void unknownOutcomeIsNotTakenForAnUnfinishedClaim() {
        String json =
                ClaimWriter.write(
                        Claim.unfinished("a", "d")
                                .withOutcome(RecordedOutcome.of(Outcome.FAILED, "", "reason")));
        assertTrue(ClaimReader.read(json).isRight());
        assertTrue(ClaimReader.read(json.replace("FAILED", "LATER_OUTCOME")).isLeft());
        assertTrue(ClaimReader.read(json.replace("true", "1")).isLeft());
    }
}
