package org.sequoiaspindle.core.coordination.claim;

/** Validity of an idempotency key. */
public enum KeyValidity {
    /** The key may be claimed. */
    USABLE,
    /**
     * The key is too old: an earlier request with it may have been executed and its claim may have
     * been removed.
     */
    EXPIRED,
    /**
     * The key does not have the required form, or its issue time is too far in the future. No
     * request was executed with it.
     */
    MALFORMED
}
