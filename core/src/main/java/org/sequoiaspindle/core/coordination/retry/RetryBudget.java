package org.sequoiaspindle.core.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits extra attempts (retries and hedges together) to a share of the first attempts, so that
 * failing endpoints cannot cause a retry storm. Thread-safe.
 */
public final class RetryBudget {

    /** Extra attempts available before any first attempt has been recorded. */
    public static final int INITIAL_EXTRA = 5;

    private static final long MILLI_PER_ATTEMPT = 1_000;
    private static final long MAX_MILLI_ATTEMPTS = 100 * MILLI_PER_ATTEMPT;

    private final long milliPerFirstAttempt;
    private final AtomicLong milliAttempts = new AtomicLong(INITIAL_EXTRA * MILLI_PER_ATTEMPT);

    /**
     * Creates a budget with {@link #INITIAL_EXTRA} extra attempts.
     *
     * @param share extra attempts allowed per first attempt, 0 to 1
     */
    public RetryBudget(double share) {
        this.milliPerFirstAttempt = Math.round(share * MILLI_PER_ATTEMPT);
    }

    /** Records a first attempt, which adds its share of an extra attempt to the budget. */
    public void recordFirstAttempt() {
        milliAttempts.updateAndGet(
                balance -> Math.min(MAX_MILLI_ATTEMPTS, balance + milliPerFirstAttempt));
    }

    /**
     * Takes one extra attempt from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryAcquireExtraAttempt() {
        long balanceBefore =
                milliAttempts.getAndUpdate(
                        balance ->
                                balance >= MILLI_PER_ATTEMPT
                                        ? balance - MILLI_PER_ATTEMPT
                                        : balance);
        return balanceBefore >= MILLI_PER_ATTEMPT;
    }
}
