package org.sequoiaspindle.daemon.transport.forwarding.request;

import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.admission.RetryPolicy;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.daemon.transport.forwarding.shared.BufferedResponse;

/** The attempts of one request so far. Confined to the event loop of the request. */
final class AttemptHistory {

    private int sentAttempts;
    private int unsentAttempts;
    private boolean mayBeExecuted;
    private BufferedResponse serverError;

    /** Counts an attempt whose request is about to be sent. */
    void recordSend() {
        sentAttempts++;
    }

    /**
     * Records the end of an attempt without an answer for the client, and decides how to proceed.
     */
    RetryPolicy.Action recordFailure(
            Route route, AttemptResult result, BufferedResponse response, long millisLeft) {
        mayBeExecuted |= result == AttemptResult.UNKNOWN || result == AttemptResult.FAILED;
        if (result == AttemptResult.FAILED) {
            serverError = response;
        }
        if (result == AttemptResult.NOT_SENT) {
            unsentAttempts++;
        }
        return RetryPolicy.SAFE.decide(route, result, sentAttempts, unsentAttempts, millisLeft);
    }

    int sentAttempts() {
        return sentAttempts;
    }

    /** Returns whether a replica may have executed the request. */
    boolean mayBeExecuted() {
        return mayBeExecuted;
    }

    /**
     * Returns the last response with a server error, which is passed on if no other one arrives.
     */
    Optional<BufferedResponse> serverError() {
        return Optional.ofNullable(serverError);
    }
}
