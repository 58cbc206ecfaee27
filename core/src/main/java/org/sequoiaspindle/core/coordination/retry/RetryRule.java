package org.sequoiaspindle.core.coordination.retry;

/** Decides whether a stage is tried again. A pure function of its argument. */
@FunctionalInterface
public interface RetryRule {

    /** Attempts of one stage, the first included. */
    int MAX_ATTEMPTS = 3;

    RetryDecision decide(Attempt attempt);

    /**
     * An attempt that did not succeed.
     *
     * @param idempotent whether the stage may be repeated
     * @param provablyNotRun whether the endpoint certainly did not execute the call
     * @param sent whether the call reached the endpoint, so that another one costs it something
     * @param number number of the attempt, from 1
     */
    record Attempt(boolean idempotent, boolean provablyNotRun, boolean sent, int number) {}

    /** What to do after an attempt. */
    enum RetryDecision {
        /** Try again; another endpoint loses nothing by it. */
        RETRY,
        /** Try again if the budget of extra attempts allows it. */
        RETRY_WITHIN_BUDGET,
        GIVE_UP
    }

    /**
     * Repeats only what may be repeated, and draws on the budget unless no byte of the failed call
     * left this process: a refused connection adds no load to any endpoint.
     */
    RetryRule SAFE =
            attempt -> {
                boolean repeatable = attempt.idempotent() || attempt.provablyNotRun();
                if (!repeatable || attempt.number() >= MAX_ATTEMPTS) {
                    return RetryDecision.GIVE_UP;
                }
                return attempt.sent() ? RetryDecision.RETRY_WITHIN_BUDGET : RetryDecision.RETRY;
            };

    /** Repeats idempotent calls on any error without a budget; a baseline. */
    RetryRule UNBOUNDED =
            attempt ->
                    (attempt.idempotent() || attempt.provablyNotRun())
                                    && attempt.number() < MAX_ATTEMPTS
                            ? RetryDecision.RETRY
                            : RetryDecision.GIVE_UP;
}
