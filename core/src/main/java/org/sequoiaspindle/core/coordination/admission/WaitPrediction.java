package org.sequoiaspindle.core.coordination.admission;

import org.sequoiaspindle.core.coordination.routing.CallProfile;
import org.sequoiaspindle.core.coordination.routing.EndpointState;
import org.sequoiaspindle.core.coordination.routing.GroupState;
import org.sequoiaspindle.core.coordination.routing.RunningCall;

/** Predicts how long a call would wait for an endpoint. */
public final class WaitPrediction {

    private WaitPrediction() {}

    /**
     * Predicted wait in milliseconds: the work that is ahead of the call, divided by the calls that
     * this instance may have in flight at once. 0 while a slot is free and nothing waits.
     */
    public static long waitMs(GroupState group, CallProfile profile, long now) {
        double capacity =
                group.open()
                        .map(endpoint -> endpoint.limit() / Math.max(1, endpoint.slowness()))
                        .sum()
                        .doubleValue();
        int inFlight = group.endpoints().values().map(EndpointState::inFlight).sum().intValue();
        double ahead = group.queuedMs() + group.committedMs();
        if (ahead == 0 && inFlight < capacity) {
            return 0;
        }
        double running =
                group.endpoints()
                        .values()
                        .flatMap(endpoint -> endpoint.running().values())
                        .map(call -> remainingMs(call, now))
                        .sum()
                        .doubleValue();
        double freeWork = Math.max(0, capacity - inFlight) * group.model().expectedMs(profile);
        double backlog = Math.max(0, ahead + running - freeWork);
        return Math.round(backlog / Math.max(1, capacity));
    }

    private static double remainingMs(RunningCall call, long now) {
        return Math.max(0, call.expectedMs() - (now - call.startedAt()));
    }
}
