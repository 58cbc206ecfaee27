package org.sequoiaspindle.core.protocol.store;

import io.vavr.collection.Vector;

/** Result of a command to the key-value service of the platform. */
public sealed interface StoreResult {

    /** The key exists. */
    record Found(StoreValue value, long version) implements StoreResult {}

    /** The key does not exist. */
    record Missing() implements StoreResult {}

    /** The write or delete took effect; the key now has version {@code version}. */
    record Swapped(long version) implements StoreResult {}

    /** The key did not have the expected version, so nothing was changed. */
    record Conflict(long actualVersion) implements StoreResult {}

    /** The lease was created and expires after its time to live. */
    record LeaseCreated(long lease) implements StoreResult {}

    /** The key did not change during the waiting time of the watch. */
    record Unchanged() implements StoreResult {}

    /**
     * No usable response arrived. A write may or may not have taken effect, and may still take
     * effect later.
     */
    record Unavailable(String reason) implements StoreResult {}

    /**
     * A page of items.
     *
     * @param more whether another page follows
     * @param revision revision of the store at the time of the read
     */
    record Listed(Vector<StoreChange.Written> items, boolean more, long revision)
            implements StoreResult {}

    /**
     * Changes in the order in which they were made.
     *
     * @param revision store revision up to which the list contains all changes
     */
    record Changed(Vector<StoreChange> changes, long revision) implements StoreResult {}

    /** The service no longer keeps the requested changes, so the items must be listed again. */
    record HistoryLost() implements StoreResult {}

    /** The lease was renewed. */
    record LeaseRenewed() implements StoreResult {}

    /** The lease has expired and its keys were deleted. */
    record LeaseLost() implements StoreResult {}
}
