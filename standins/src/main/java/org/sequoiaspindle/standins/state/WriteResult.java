package org.sequoiaspindle.standins.state;

/** Result of a conditional write or deletion. */
public sealed interface WriteResult {

    /** The condition held; the key now has this version. */
    record Applied(long version) implements WriteResult {}

    /** The condition did not hold; the key has this version, 0 if it is absent. */
    record Conflict(long actualVersion) implements WriteResult {}

    /** The lease named by the write does not exist or has lapsed; nothing was written. */
    record LeaseGone(long lease) implements WriteResult {}
}
