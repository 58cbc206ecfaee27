package org.sequoiaspindle.core.coordination.admission;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.Totals;

/** Predicts how long a call would wait for an endpoint. */
public final class WaitPrediction {

    /** A running call is on average half done. */
    private static final double RUNNING_LEFT = 0.5;

    private WaitPrediction() {}

    /**
     * Predicted wait in milliseconds: the work that is ahead of the call, divided by the calls that
     * this instance may have in flight at once. 0 while a slot is free and nothing waits.
     */
    public static long waitMs(GroupState group, CallProfile profile) {
        Totals totals = group.totals();
        double free = totals.capacity() - totals.inFlight();
        long ahead = totals.queuedMs() + group.committedMs();
        if (ahead == 0 && free > 0) {
            return 0;
        }
        double running = RUNNING_LEFT * totals.runningMs();
        double freeWork = Math.max(0, free) * group.model().expectedMs(profile);
        double backlog = Math.max(0, ahead + running - freeWork);
        return Math.round(backlog / Math.max(1, totals.capacity()));
    }
}
