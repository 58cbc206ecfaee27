package org.sequoiaspindle.core.coordination.admission;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.GroupTotals;

/** Predicts how long a call would wait for an endpoint. */
public final class WaitPrediction {

    /** Share of the service time of a running call that remains on average. */
    private static final double REMAINING_SHARE_OF_RUNNING = 0.5;

    private WaitPrediction() {}

    /**
     * Returns the predicted queueing time in milliseconds: the work ahead of the call, divided by
     * the number of calls that this instance may have in flight. It is 0 while a slot is free and
     * no call is pending.
     */
    public static long waitMs(GroupState group, CallProfile profile) {
        GroupTotals totals = group.totals();
        double freeSlots = totals.capacity() - totals.inFlight();
        long aheadMs = totals.pendingMs() + group.committedMs();
        if (aheadMs == 0 && freeSlots > 0) {
            return 0;
        }
        double runningMs = REMAINING_SHARE_OF_RUNNING * totals.runningMs();
        double freeSlotWorkMs = Math.max(0, freeSlots) * group.model().expectedMs(profile);
        double backlogMs = Math.max(0, aheadMs + runningMs - freeSlotWorkMs);
        return Math.round(backlogMs / Math.max(1, totals.capacity()));
    }
}
