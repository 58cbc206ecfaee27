package org.sequoiaspindle.core.protocol.store;

/** Change of one key in the key-value service of the platform. */
public sealed interface StoreChange {

    String key();

    /** Returns the revision of the store at which the change was made. */
    long revision();

    /** The key was created or its value was replaced. */
    record Written(String key, StoreValue value, long revision) implements StoreChange {}

    /** The key was deleted, or its lease expired. */
    record Removed(String key, long revision) implements StoreChange {}
}
