package org.sequoiaspindle.standins.state;

/** Result of a conditional write or deletion. */
public sealed interface WriteResult {

    /** The version matched; the key now has this version. */
    record Applied(long version) implements WriteResult {}

    /** The version did not match; the key still has this version, 0 if it is absent. */
    record Conflict(long actualVersion) implements WriteResult {}

    /** The lease of the write does not exist or has expired; nothing was written. */
    record LeaseNotFound(long lease) implements WriteResult {}
}
