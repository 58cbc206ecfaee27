package org.sequoiaspindle.core.coordination.forwarding.permit;

import java.util.OptionalLong;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;

/**
 * Rate at which permits for a cold replica are issued.
 *
 * @param factor multiple of the tolerated rate that a replica may receive in a second
 * @param slack requests that it may receive in a second in addition
 */
public record IssueRate(double factor, double slack) {

    private static final long SECOND_MS = 1_000;

    /**
     * Requests sent within one second use permits issued within this time, in milliseconds: each
     * was issued after it was asked for and is sent within its lifetime.
     */
    private static final long ISSUE_WINDOW_MS = SECOND_MS + SendPermit.LIFETIME_MS;

    /**
     * Returns the time between two permits, in milliseconds. Permits are issued at the tolerated
     * rate, or more slowly if the permits usable within one second, plus one, would exceed the
     * bound. Empty if no rate keeps the bound.
     */
    public OptionalLong spacingMillis(ColdSpec cold) {
        long spacing = (long) Math.ceil(SECOND_MS / cold.requestsPerSecond());
        long bound = bound(cold);
        if (bound < 2) {
            return OptionalLong.empty();
        }
        // The smallest spacing with floor(window / spacing) + 2 <= bound.
        return OptionalLong.of(Math.max(spacing, ISSUE_WINDOW_MS / (bound - 1) + 1));
    }

    /** Returns the number of requests that a cold replica may receive in any second. */
    public long bound(ColdSpec cold) {
        return (long) Math.floor(cold.requestsPerSecond() * factor + slack);
    }

    /** Returns whether the bound forces a rate below the one that a replica tolerates. */
    public boolean isLowered(ColdSpec cold) {
        return spacingMillis(cold).orElse(Long.MAX_VALUE)
                > (long) Math.ceil(SECOND_MS / cold.requestsPerSecond());
    }
}
