package org.sequoiaspindle.core.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds extra attempts, retries and hedges together, to a share of the first attempts, so that
 * failing endpoints cannot cause a retry storm. Thread-safe.
 */
public final class RetryBudget {

    /** Extra attempts that an instance may make before it has made any first attempts. */
    public static final int INITIAL_EXTRA = 5;

    private static final long MILLI = 1_000;
    private static final long MAX_MILLI_EXTRA = 100 * MILLI;

    private final long milliPerFirst;
    private final AtomicLong milliExtra = new AtomicLong(INITIAL_EXTRA * MILLI);

    /**
     * A budget.
     *
     * @param share extra attempts per first attempt, 0 to 1
     */
    public RetryBudget(double share) {
        this.milliPerFirst = Math.round(share * MILLI);
    }

    /** Notes a first attempt. */
    public void firstAttempt() {
        milliExtra.updateAndGet(credit -> Math.min(MAX_MILLI_EXTRA, credit + milliPerFirst));
    }

    /** Takes one extra attempt; false if the budget is used up. */
    public boolean tryExtra() {
        long before = milliExtra.getAndUpdate(credit -> credit >= MILLI ? credit - MILLI : credit);
        return before >= MILLI;
    }
}
