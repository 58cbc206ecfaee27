package org.sequoiaspindle.daemon.transport.forwarding;

import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.RepeatBudgets;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.coordination.forwarding.RunTimes;
import org.sequoiaspindle.core.coordination.forwarding.TimeEstimates;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceMaker;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * What all requests share. Each part is thread-safe.
 *
 * @param pieceTimes time from the order of a piece to its result, by service
 */
record ForwardingParts(
        ForwardingSettings settings,
        Registry registry,
        HttpDialect dialect,
        ReplicaStatuses statuses,
        RepeatBudgets budgets,
        TimeEstimates pieceTimes,
        RunTimes runTimes,
        PieceMaker pieces,
        Releaser releaser,
        ResultLocator locator,
        ForwardingMetrics metrics,
        MillisClock clock,
        EventLog events) {

    /**
     * Part of the time allowed for revoking a key that a confirmation may be old. The rest covers
     * requests that have been accepted and not sent yet.
     */
    private static final double CONFIRMATION_SHARE = 0.8;

    boolean keysConfirmed() {
        long allowed = settings.revocationMillis();
        return allowed == 0 || registry.keysConfirmed((long) (allowed * CONFIRMATION_SHARE));
    }
}
