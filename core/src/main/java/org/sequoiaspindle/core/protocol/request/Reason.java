package org.sequoiaspindle.core.protocol.request;

/** Why a request was not answered; front ends map it to the codes of their protocol. */
public enum Reason {
    NONE,
    /** Organisation or secret is wrong. */
    UNAUTHENTICATED,
    /** The organisation may not call the pipeline. */
    FORBIDDEN,
    /** No such pipeline in the configuration in force. */
    UNKNOWN_PIPELINE,
    /** A field of the request is missing or out of range. */
    MALFORMED,
    /** The organisation has as many requests in progress as it may have. */
    OVER_LIMIT,
    /** The deadline cannot be met by what is predicted. */
    NO_TIME,
    /** No usable endpoint. */
    NO_ENDPOINT,
    /** The instance holds no configuration yet. */
    NOT_READY,
    /** The key could not be claimed because the platform's store did not answer. */
    STORE_UNAVAILABLE,
    /** Another use of the key is in progress, or its instance was lost, or the key is too old. */
    KEY_IN_USE,
    /** The endpoint reported an error. */
    ENDPOINT_ERROR,
    /** The endpoint gave no verdict. */
    NO_VERDICT,
    /** The deadline passed. */
    DEADLINE,
    /** The caller went away or did not read its answer. */
    CALLER_GONE
}
