package org.sequoiaspindle.core.protocol.request;

/** Why a request was not answered. Front ends map each constant to a code of their protocol. */
public enum OutcomeReason {
    NONE,
    /** Organisation or secret is wrong. */
    UNAUTHENTICATED,
    /** The organisation may not call the pipeline. */
    FORBIDDEN,
    /** The active configuration has no pipeline of this name. */
    UNKNOWN_PIPELINE,
    /** A field of the request is missing or out of range. */
    MALFORMED,
    /** The organisation has reached its limit of concurrent requests. */
    OVER_LIMIT,
    /** The predicted waiting and service times exceed the time left until the deadline. */
    NO_TIME,
    /** The endpoint group of a stage has no usable endpoint. */
    NO_ENDPOINT,
    /** The instance has no configuration yet. */
    NOT_READY,
    /**
     * The idempotency key could not be claimed because the store of the platform did not respond.
     */
    STORE_UNAVAILABLE,
    /**
     * Another request with the same idempotency key is in progress or was lost when the instance
     * that ran the request failed, or the key has expired.
     */
    KEY_IN_USE,
    /** The endpoint reported an error. */
    ENDPOINT_ERROR,
    /** The endpoint returned no usable result, so the call may or may not have been executed. */
    NO_VERDICT,
    /** The deadline passed. */
    DEADLINE,
    /** The caller disconnected or stopped reading the answer. */
    CALLER_GONE
}
