package org.sequoiaspindle.core.protocol.store;

import java.util.Map;
import java.util.Set;

/** Command to the key-value service of the platform. */
public sealed interface StoreCommand {

    /** Version of a key that does not exist. */
    long ABSENT = 0;

    /** Lease of a value that is written without a lease. */
    long NO_LEASE = 0;

    /** Reads the value of a key. */
    record Read(String key) implements StoreCommand {}

    /**
     * Writes a value if the key has the expected version.
     *
     * @param expectedVersion version that the key must have, {@link #ABSENT} to create the key
     * @param value at most 1 MB
     * @param lease lease whose expiry deletes the key, {@link #NO_LEASE} for none
     */
    record CompareAndSwap(String key, long expectedVersion, StoreValue value, long lease)
            implements StoreCommand {

        /** Creates a write without a lease. */
        public CompareAndSwap(String key, long expectedVersion, StoreValue value) {
            this(key, expectedVersion, value, NO_LEASE);
        }
    }

    /**
     * Writes values, whether or not their keys exist.
     *
     * @param values at most 32 values by key
     * @param lease lease whose expiry deletes the keys
     */
    record WriteAll(Map<String, StoreValue> values, long lease) implements StoreCommand {

        public WriteAll {
            values = Map.copyOf(values);
        }
    }

    /**
     * Deletes keys, whether or not they exist.
     *
     * @param keys at most 32 keys
     */
    record DeleteAll(Set<String> keys) implements StoreCommand {

        public DeleteAll {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * Creates a lease that expires unless it is renewed within its time to live.
     *
     * @param ttlMillis time to live in milliseconds
     */
    record CreateLease(long ttlMillis) implements StoreCommand {}

    /** Deletes a key if it has the expected version. */
    record Delete(String key, long expectedVersion) implements StoreCommand {}

    /**
     * Waits until the key has a version above {@code afterVersion}.
     *
     * @param waitMillis time in milliseconds after which the service responds with {@link
     *     StoreResult.Unchanged}
     */
    record AwaitChange(String key, long afterVersion, long waitMillis) implements StoreCommand {}

    /**
     * Reads one page of the items whose keys begin with a prefix, ordered by key.
     *
     * @param after last key of the previous page, empty for the first page
     * @param mayBeStale whether the page may be seconds old, which makes the call cheaper
     */
    record ListItems(String prefix, String after, boolean mayBeStale) implements StoreCommand {

        /** Creates a listing of the current items. */
        public ListItems(String prefix, String after) {
            this(prefix, after, false);
        }
    }

    /**
     * Reads the value of a key if it was written after a revision. The result is a {@link
     * StoreResult.Listed} that contains the item, or no item if there is no newer one.
     *
     * @param knownRevision revision of the value that the caller has, 0 for none
     */
    record ReadNewer(String key, long knownRevision) implements StoreCommand {}

    /**
     * Waits for changes of the keys that begin with a prefix.
     *
     * @param afterRevision store revision after which changes are reported
     * @param waitMillis time in milliseconds after which the service responds without changes
     */
    record AwaitChanges(String prefix, long afterRevision, long waitMillis)
            implements StoreCommand {}

    /** Extends a lease by its full time to live from now. */
    record RenewLease(long lease) implements StoreCommand {}
}
