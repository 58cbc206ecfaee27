package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.RegistryChange;

/**
 * Keys with a common revision counter, conditional writes, leases and watches on prefixes, as in
 * the store of the users' platform. Thread-safe.
 */
public final class RegistryStore {

    private record Watch(
            String prefix, long afterRevision, Consumer<List<RegistryChange>> listener) {}

    private final TreeMap<String, RegistryChange> items = new TreeMap<>();
    private final List<RegistryChange> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Leases leases;
    private long revision = 1;
    private long compactedRevision;

    public RegistryStore(LongSupplier nowMs, ActionScheduler scheduler) {
        leases = new Leases(nowMs, scheduler, this::removeKeysOfLease);
    }

    public Leases leases() {
        return leases;
    }

    public synchronized long revision() {
        return revision;
    }

    public synchronized Optional<RegistryChange> read(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /** Returns the items whose keys start with the prefix and sort after the given key. */
    public synchronized List<RegistryChange> range(String prefix, String after) {
        return items.tailMap(after, false).values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
    }

    /** Writes unconditionally and returns the new revision. */
    public synchronized long write(String key, ImmutableBytes value, long lease) {
        RegistryChange change = RegistryChange.written(key, value, ++revision, lease);
        items.put(key, change);
        recordAndNotify(change);
        return revision;
    }

    /**
     * Writes and removes if the revision of every key is the expected revision.
     *
     * @param expectedRevisions expected revision by key, 0 for an absent key
     * @param removedKeys keys to remove, which need not exist
     * @return the new revision, or empty if a revision does not match
     */
    public synchronized Optional<Long> writeIf(
            Map<String, Long> expectedRevisions,
            Map<String, ImmutableBytes> values,
            long lease,
            List<String> removedKeys) {
        boolean revisionsMatch =
                expectedRevisions.entrySet().stream()
                        .allMatch(entry -> revisionOf(entry.getKey()) == entry.getValue());
        if (!revisionsMatch) {
            return Optional.empty();
        }
        values.forEach((key, value) -> write(key, value, lease));
        removedKeys.forEach(this::remove);
        return Optional.of(revision);
    }

    public synchronized void remove(String key) {
        if (items.remove(key) != null) {
            recordAndNotify(RegistryChange.removed(key, ++revision));
        }
    }

    /** Discards the history of changes; watches from an older revision are rejected afterwards. */
    public synchronized void compact() {
        compactedRevision = revision;
        history.clear();
    }

    /** Returns true if changes after the revision have been discarded. */
    public synchronized boolean isHistoryLost(long afterRevision) {
        return afterRevision < compactedRevision;
    }

    /**
     * Passes the changes after a revision to the listener, immediately if there are any, otherwise
     * when the next change occurs.
     *
     * @return an action that ends the wait and passes an empty list to the listener; it has no
     *     effect if the wait has ended
     */
    public synchronized Runnable watch(
            String prefix, long afterRevision, Consumer<List<RegistryChange>> listener) {
        List<RegistryChange> pastChanges =
                history.stream()
                        .filter(change -> change.revision() > afterRevision)
                        .filter(change -> change.key().startsWith(prefix))
                        .toList();
        if (!pastChanges.isEmpty()) {
            listener.accept(pastChanges);
            return () -> {};
        }
        Watch watch = new Watch(prefix, afterRevision, listener);
        watches.add(watch);
        return () -> timeOut(watch);
    }

    private synchronized void timeOut(Watch watch) {
        if (watches.remove(watch)) {
            watch.listener().accept(List.of());
        }
    }

    private void recordAndNotify(RegistryChange change) {
        history.add(change);
        List<Watch> notifiedWatches =
                watches.stream().filter(watch -> change.key().startsWith(watch.prefix())).toList();
        watches.removeAll(notifiedWatches);
        notifiedWatches.forEach(watch -> watch.listener().accept(List.of(change)));
    }

    private long revisionOf(String key) {
        return items.containsKey(key) ? items.get(key).revision() : 0;
    }

    private synchronized void removeKeysOfLease(long lease) {
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(RegistryChange::key)
                .toList()
                .forEach(this::remove);
    }
}
