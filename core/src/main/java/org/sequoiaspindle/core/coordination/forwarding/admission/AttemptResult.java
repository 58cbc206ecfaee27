package org.sequoiaspindle.core.coordination.forwarding.admission;

/** Result of sending a request to one replica. */
public enum AttemptResult {
    /** The replica sent a complete response with a success or client error status. */
    ANSWERED,
    /** The replica responded with a server error; it may have executed the request. */
    FAILED,
    /** No part of the request was sent. */
    NOT_SENT,
    /** The replica reports that it did not execute the request. */
    NOT_EXECUTED,
    /** The replica did not execute the request because some of its inputs no longer exist. */
    INPUTS_GONE,
    /** No usable response arrived; the replica may have executed the request. */
    UNKNOWN
}
