package org.sequoiaspindle.daemon.transport.forwarding.client;

import org.sequoiaspindle.core.state.forwarding.IngressLimits;

/** Times at which the parts of a client's request were received. Not thread-safe. */
final class ReceiveTimes {

    private long headReceivedAt;
    private long lastBytesAt;
    private boolean headStarted;

    ReceiveTimes(long now) {
        lastBytesAt = now;
    }

    /**
     * Records received bytes.
     *
     * @param betweenRequests whether the bytes start a new head if none has started
     */
    void recordBytes(boolean betweenRequests, long now) {
        if (betweenRequests && !headStarted) {
            headStarted = true;
            headReceivedAt = now;
        }
        lastBytesAt = now;
    }

    /** Records a complete head. */
    void recordHead(long now) {
        headStarted = false;
        headReceivedAt = now;
    }

    /**
     * Records the end of a response.
     *
     * @param withinRequest whether a part of the next head has been received
     */
    void recordResponse(boolean withinRequest, long now) {
        lastBytesAt = now;
        if (withinRequest) {
            headStarted = true;
            headReceivedAt = now;
        }
    }

    long headReceivedAt() {
        return headReceivedAt;
    }

    /** Returns whether a part of a head, but no complete one, has been received. */
    boolean isWithinHead() {
        return headStarted;
    }

    /**
     * Returns whether the client takes too long to send the head or the body of a request.
     *
     * @param headComplete whether the body is being received
     */
    boolean isTooSlow(boolean headComplete, IngressLimits limits, long now) {
        long since = headComplete ? lastBytesAt : headReceivedAt;
        return now - since > limits.headerTimeoutMillis();
    }

    boolean isIdleTooLong(IngressLimits limits, long now) {
        return now - lastBytesAt > limits.idleTimeoutMillis();
    }
}
