package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;

/**
 * Result of an attempt to claim an idempotency key. Only {@link Granted} permits the execution of
 * the request.
 */
public sealed interface ClaimResult {
    /** The key is claimed; the request may be executed once. */
    record Granted(HeldClaim heldClaim) implements ClaimResult {}

    /** The request was executed before and ended with this outcome. */
    record Replay(RecordedOutcome outcome) implements ClaimResult {}

    /**
     * The request is in progress or was lost with its instance; whether it was executed is unknown.
     */
    record InUse() implements ClaimResult {}

    /** The key is too old; whether an earlier request with it was executed is unknown. */
    record Expired() implements ClaimResult {}

    /**
     * The key does not have the required form or its issue time is in the future; the request is
     * not executed.
     */
    record Malformed() implements ClaimResult {}

    /** The key was used for a different request; this request is not executed. */
    record DigestMismatch() implements ClaimResult {}

    /** The key could not be claimed in the store; the request is not executed. */
    record StoreUnavailable(String reason) implements ClaimResult {}
}
