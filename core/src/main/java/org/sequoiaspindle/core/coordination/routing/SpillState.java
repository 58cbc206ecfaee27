package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;

/**
 * Whether calls of a group go to another data centre when the own one refuses them. Spilling for
 * lack of time starts at the second refusal in a row and ends after a time without one, so that a
 * single refusal does not move load back and forth. Without any local endpoint it is immediate.
 *
 * @param refusals refusals in a row
 * @param lastRefusalAt time of the last refusal in milliseconds
 */
public record SpillState(int refusals, long lastRefusalAt) {

    private static final int REFUSALS_TO_SPILL = 2;
    private static final long QUIET_MS = 5_000;

    /** Nothing has been refused yet. */
    public static SpillState none() {
        return new SpillState(0, 0);
    }

    /** The state after a refusal. */
    public SpillState refused(RefusalCause cause, long now) {
        boolean inRow = now - lastRefusalAt < QUIET_MS;
        int counted = (inRow ? refusals : 0) + 1;
        return new SpillState(
                cause == RefusalCause.NO_ENDPOINT ? Math.max(counted, REFUSALS_TO_SPILL) : counted,
                now);
    }

    public boolean isSpilling(long now) {
        return refusals >= REFUSALS_TO_SPILL && now - lastRefusalAt < QUIET_MS;
    }
}
