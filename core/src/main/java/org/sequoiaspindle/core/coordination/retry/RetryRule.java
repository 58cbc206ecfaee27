package org.sequoiaspindle.core.coordination.retry;

/** Decides whether a failed attempt of a stage is retried. A pure function of its argument. */
@FunctionalInterface
public interface RetryRule {

    /** Maximum number of attempts of a stage, including the first. */
    int MAX_ATTEMPTS = 3;

    RetryDecision decide(FailedAttempt attempt);

    /**
     * A failed attempt.
     *
     * @param idempotent whether the stage may be repeated
     * @param provablyNotRun whether it is certain that the endpoint did not execute the call
     * @param sent whether any byte of the call was sent, so that it may have put load on the
     *     endpoint
     * @param number number of the attempt, starting at 1
     */
    record FailedAttempt(boolean idempotent, boolean provablyNotRun, boolean sent, int number) {}

    /** Decision after a failed attempt. */
    enum RetryDecision {
        /** Retry without drawing on the budget. */
        RETRY,
        /** Retry if the budget of extra attempts allows it. */
        RETRY_WITHIN_BUDGET,
        GIVE_UP
    }

    /**
     * Retries idempotent calls and calls that were certainly not executed. Each retry draws on the
     * budget unless no byte of the failed call left this process: a refused connection adds no load
     * to any endpoint.
     */
    RetryRule SAFE =
            attempt -> {
                boolean retryable = attempt.idempotent() || attempt.provablyNotRun();
                if (!retryable || attempt.number() >= MAX_ATTEMPTS) {
                    return RetryDecision.GIVE_UP;
                }
                return attempt.sent() ? RetryDecision.RETRY_WITHIN_BUDGET : RetryDecision.RETRY;
            };

    /** Retries the same calls without a budget; a baseline for comparison. */
    RetryRule UNBOUNDED =
            attempt ->
                    (attempt.idempotent() || attempt.provablyNotRun())
                                    && attempt.number() < MAX_ATTEMPTS
                            ? RetryDecision.RETRY
                            : RetryDecision.GIVE_UP;
}
