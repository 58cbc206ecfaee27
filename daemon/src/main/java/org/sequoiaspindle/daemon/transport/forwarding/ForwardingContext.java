package org.sequoiaspindle.daemon.transport.forwarding;

import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.DurationEstimates;
import org.sequoiaspindle.core.coordination.forwarding.FirstByteTimeEstimates;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.coordination.forwarding.ServiceRetryBudgets;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * What all requests share. Each part is thread-safe.
 *
 * @param pieceTimes time from the order of a piece to its result, by service
 */
record ForwardingContext(
        ForwardingSettings settings,
        Registry registry,
        HttpDialect dialect,
        ReplicaStatuses statuses,
        ServiceRetryBudgets retryBudgets,
        DurationEstimates pieceTimes,
        FirstByteTimeEstimates firstByteTimes,
        PieceExecutor pieceExecutor,
        HandleReleaser releaser,
        ResultLocator locator,
        ForwardingMetrics metrics,
        MillisClock clock,
        EventLog events) {

    /**
     * Part of the time allowed for revoking a key that a confirmation may be old when a request is
     * accepted. The rest covers requests that are accepted and not sent yet.
     */
    private static final double ACCEPT_AGE_FRACTION = 0.8;

    /**
     * Part of that time that a confirmation may be old when a request is sent. The rest covers the
     * way to the endpoint and an event loop that is busy.
     */
    private static final double SEND_AGE_FRACTION = 0.94;

    /** Whether requests with a key may be accepted. */
    boolean mayAcceptWithKey() {
        return keysConfirmed(ACCEPT_AGE_FRACTION, 0);
    }

    /**
     * Whether a request with a key may be sent.
     *
     * @param afterMillis time from now until it is
     */
    boolean maySendWithKey(long afterMillis) {
        return keysConfirmed(SEND_AGE_FRACTION, afterMillis);
    }

    private boolean keysConfirmed(double share, long afterMillis) {
        long allowed = settings.revocationMillis();
        return allowed == 0 || registry.keysConfirmed((long) (allowed * share) - afterMillis);
    }
}
