package org.sequoiaspindle.core.coordination.claim;

/** What a stored claim means for an attempt that wants the key. */
public sealed interface ClaimVerdict {
    /** The attempt itself holds the claim. */
    record Own() implements ClaimVerdict {}

    /** The same request has ended before. */
    record Ended(RecordedOutcome outcome) implements ClaimVerdict {}

    /** The same request is in progress, or its holder was lost. */
    record Held() implements ClaimVerdict {}

    /** A different request used the key. */
    record OtherRequest() implements ClaimVerdict {}

    /**
     * Decides by the stored claim alone. Claims are never taken over, so that a holder that wakes
     * after a long pause cannot cause a second run.
     */
    static ClaimVerdict of(Claim stored, Claim mine) {
        if (stored.attempt().equals(mine.attempt())) {
            return new Own();
        }
        if (!stored.digest().equals(mine.digest())) {
            return new OtherRequest();
        }
        return stored.outcome().<ClaimVerdict>map(Ended::new).getOrElse(Held::new);
    }
}
