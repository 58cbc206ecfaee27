package org.sequoiaspindle.standins.state;

/** Result of a conditional write or deletion. */
public sealed interface WriteResult {

    /** The expected version matched; the key now has {@code version}, 0 after a deletion. */
    record Applied(long version) implements WriteResult {}

    /** The expected version did not match; the key still has {@code actualVersion}, 0 if absent. */
    record Conflict(long actualVersion) implements WriteResult {}

    /** The lease of the write does not exist or has expired; nothing was written. */
    record LeaseNotFound(long lease) implements WriteResult {}
}
