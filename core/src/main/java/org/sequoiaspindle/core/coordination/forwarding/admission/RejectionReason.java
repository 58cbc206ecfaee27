package org.sequoiaspindle.core.coordination.forwarding.admission;

/** Reason for an error response that the system itself sends to a client. */
public enum RejectionReason {
    /** The instance has not read any configuration yet. */
    NO_CONFIGURATION,
    /** No configured route matches the host and path. */
    NO_ROUTE,
    /** The request carries no API key, or an unknown one. */
    UNKNOWN_KEY,
    /** The instance cannot confirm that its API keys are still valid. */
    KEYS_UNCONFIRMED,
    /** The request head lacks a mandatory field or is contradictory. */
    MALFORMED,
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE,
    /** The request states more pieces than the limit of the instance. */
    TOO_MANY_PIECES,
    /** The stages exceed what all replicas together can compute or store. */
    STAGES_TOO_LARGE,
    /** The service has no available replica. */
    NO_REPLICA,
    /** The tried replicas have no free capacity; the request was not executed. */
    FULL,
    /** The request cannot complete before its deadline; it was not executed. */
    TOO_LATE,
    /** Several replicas crashed under a part of the prompt; the request was not executed. */
    HARMFUL_PROMPT,
    /** The instance is draining and could not complete the request in time. */
    STOPPING,
    /** A stage of the request failed; the request itself was not executed. */
    STAGE_FAILED,
    /** The request was sent and may have been executed, but no usable response arrived. */
    ANSWER_LOST,
    /** The deadline passed after the request was sent; it may still be executed. */
    TIMED_OUT
}
