package org.sequoiaspindle.core.coordination.forwarding;

/** Why the system itself ends a request that no replica answered. */
public enum RejectionReason {
    /** The instance has not read a configuration yet. */
    NO_CONFIGURATION,
    /** No route of the configuration matches host and path. */
    NO_ROUTE,
    /** The request carries no key, or one that no organisation holds. */
    UNKNOWN_KEY,
    /** The instance cannot confirm that the keys it knows are still valid. */
    KEYS_UNCONFIRMED,
    /** The head lacks what every request must carry, or contradicts itself. */
    MALFORMED,
    /** The body is larger than the limits allow. */
    BODY_TOO_LARGE,
    /** No replica of the service takes requests. */
    NO_REPLICA,
    /** The replicas that were asked have no room, and the request has not run. */
    FULL,
    /** The request cannot end in time, and has not run. */
    TOO_LATE,
    /** The instance is about to end and could not finish the request. */
    STOPPING,
    /** A stage of the request could not be completed; the request itself has not run. */
    STAGE_FAILED,
    /** The request was sent and may have run, but no usable answer came. */
    ANSWER_LOST,
    /** The request was sent and may still run; its time is up. */
    TIMED_OUT
}
