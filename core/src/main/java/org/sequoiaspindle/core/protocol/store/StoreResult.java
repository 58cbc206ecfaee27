package org.sequoiaspindle.core.protocol.store;

/** What became of a call of the platform's key-value service. */
public sealed interface StoreResult {

    /** The key exists. */
    record Found(StoreValue value, long version) implements StoreResult {}

    /** The key does not exist. */
    record Missing() implements StoreResult {}

    /** The write or delete took effect; the key is now at {@code version}. */
    record Swapped(long version) implements StoreResult {}

    /** The key was not at the expected version; nothing was changed. */
    record Conflict(long actualVersion) implements StoreResult {}

    /** The lease exists and lapses after its time to live. */
    record LeaseCreated(long lease) implements StoreResult {}

    /** A watch ended without a change. */
    record Unchanged() implements StoreResult {}

    /** No usable answer came. A write may or may not have taken effect, now or later. */
    record Unavailable(String reason) implements StoreResult {}
}
