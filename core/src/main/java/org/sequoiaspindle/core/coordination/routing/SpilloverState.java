package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;

/**
 * State that determines whether calls of a group that are refused in this instance's data centre
 * are forwarded to another data centre. Spillover because of deadlines starts at the second
 * consecutive refusal and ends after a period without refusals, so that a single refusal does not
 * move load back and forth. If the group has no local endpoint, spillover starts at once.
 *
 * @param refusals consecutive refusals, with less than 5 s between them
 * @param lastRefusalAt time of the last refusal in milliseconds
 */
public record SpilloverState(int refusals, long lastRefusalAt) {

    private static final int REFUSALS_TO_SPILL = 2;
    private static final long RESET_AFTER_MS = 5_000;

    /** Returns the state before the first refusal. */
    public static SpilloverState none() {
        return new SpilloverState(0, 0);
    }

    /** Returns the state after a refusal. */
    public SpilloverState afterRefusal(RefusalCause cause, long now) {
        boolean isConsecutive = now - lastRefusalAt < RESET_AFTER_MS;
        int count = (isConsecutive ? refusals : 0) + 1;
        return new SpilloverState(
                cause == RefusalCause.NO_ENDPOINT ? Math.max(count, REFUSALS_TO_SPILL) : count,
                now);
    }

    public boolean isActive(long now) {
        return refusals >= REFUSALS_TO_SPILL && now - lastRefusalAt < RESET_AFTER_MS;
    }
}
