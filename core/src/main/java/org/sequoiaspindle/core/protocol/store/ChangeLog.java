package org.sequoiaspindle.core.protocol.store;

import io.vavr.collection.Vector;

/**
 * Complete list of the recent changes of the store, from which several watchers can be served.
 * Immutable.
 *
 * @param from the log contains all changes after this revision
 * @param to the log contains all changes up to this revision
 */
public record ChangeLog(long from, long to, Vector<StoreChange> changes) {

    /** Changes to keep; a watcher that is further behind lists all items again. */
    static final int MAX_CHANGES = 2_000;

    /** Maximum size of the values to keep, in bytes: several large configurations. */
    static final long MAX_VALUE_BYTES = 4_000_000;

    /** Returns a log that contains no changes yet. */
    public static ChangeLog startingAt(long revision) {
        return new ChangeLog(revision, revision, Vector.empty());
    }

    /** Returns whether the log contains all changes after a revision that it has reached. */
    public boolean covers(long revision) {
        return revision >= from;
    }

    /** Returns the changes after a revision, which must be covered. */
    public StoreResult.Changed changesAfter(long revision) {
        return new StoreResult.Changed(
                changes.dropWhile(change -> change.revision() <= revision), Math.max(to, revision));
    }

    /** Returns the log with the next changes; changes that it already contains are skipped. */
    public ChangeLog append(StoreResult.Changed next) {
        Vector<StoreChange> all =
                changes.appendAll(next.changes().filter(change -> change.revision() > to));
        return new ChangeLog(from, Math.max(to, next.revision()), all).trimmed();
    }

    private ChangeLog trimmed() {
        int excess = changes.size() - MAX_CHANGES;
        long excessBytes = changes.map(ChangeLog::valueBytes).sum().longValue() - MAX_VALUE_BYTES;
        if (excess <= 0 && excessBytes <= 0) {
            return this;
        }
        int dropped = 0;
        long droppedBytes = 0;
        while (dropped < changes.size() && (dropped < excess || droppedBytes < excessBytes)) {
            droppedBytes += valueBytes(changes.get(dropped));
            dropped++;
        }
        // Changes of one transaction share a revision and are only complete together.
        long lastDropped = changes.get(dropped - 1).revision();
        return new ChangeLog(
                lastDropped, to, changes.dropWhile(change -> change.revision() <= lastDropped));
    }

    private static long valueBytes(StoreChange change) {
        return change instanceof StoreChange.Written written ? written.value().length() : 0;
    }
}
