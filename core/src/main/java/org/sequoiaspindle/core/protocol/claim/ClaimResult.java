package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;

/** What became of an attempt to claim a key. Only {@link Granted} permits a call. */
public sealed interface ClaimResult {
    /** The key is claimed; the request may run once. */
    record Granted(ClaimHandle handle) implements ClaimResult {}

    /** The request ran before and ended so. */
    record Replay(RecordedOutcome outcome) implements ClaimResult {}

    /** The request is in progress or its holder was lost; whether it ran is unknown. */
    record InUse() implements ClaimResult {}

    /** The key is too old; whether an earlier use ran is unknown. */
    record Expired() implements ClaimResult {}

    /** The key has not the required form or is issued in the future; not run. */
    record Malformed() implements ClaimResult {}

    /** A different request used the key; this one is not run. */
    record DigestMismatch() implements ClaimResult {}

    /** The key could not be claimed; this attempt is not run. */
    record StoreUnavailable(String reason) implements ClaimResult {}
}
