package org.sequoiaspindle.core.coordination.claim;

/** Result of comparing the stored claim of an idempotency key with the claim of an attempt. */
public sealed interface ClaimVerdict {
    /** The stored claim was written by the same attempt. */
    record SameAttempt() implements ClaimVerdict {}

    /** The stored claim belongs to the same request, which has ended. */
    record Finished(RecordedOutcome outcome) implements ClaimVerdict {}

    /**
     * The stored claim belongs to the same request, which is in progress or was lost with its
     * instance.
     */
    record Unfinished() implements ClaimVerdict {}

    /** The key was used for a different request. */
    record OtherRequest() implements ClaimVerdict {}

    /**
     * Compares the stored claim with the claim of an attempt. An attempt never takes over the claim
     * of another attempt, so that an instance that resumes after a long pause cannot cause a second
     * execution.
     */
    static ClaimVerdict of(Claim stored, Claim attempted) {
        if (stored.attempt().equals(attempted.attempt())) {
            return new SameAttempt();
        }
        if (!stored.digest().equals(attempted.digest())) {
            return new OtherRequest();
        }
        return stored.outcome().<ClaimVerdict>map(Finished::new).getOrElse(Unfinished::new);
    }
}
