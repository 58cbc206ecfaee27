package org.sequoiaspindle.core.coordination.claim;

/** Whether an idempotency key may be used now. */
public enum KeyStanding {
    /** The key may be claimed. */
    USABLE,
    /** The key is too old: an earlier use may have run and its claim may be gone. */
    EXPIRED,
    /** The key has not the required form or lies too far in the future; it was never used. */
    MALFORMED
}
