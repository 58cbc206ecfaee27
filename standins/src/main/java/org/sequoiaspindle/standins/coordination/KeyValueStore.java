package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.KeyHistory;
import org.sequoiaspindle.standins.state.VersionedValue;
import org.sequoiaspindle.standins.state.WriteResult;

/**
 * Versioned keys with conditional writes, watches and leases. All versions come from one counter,
 * so the versions of a key also increase when the key is deleted and created again. Thread-safe.
 */
public final class KeyValueStore {

    private static final long NO_LEASE = 0;

    private final Map<String, KeyHistory> keys = new ConcurrentHashMap<>();
    private final AtomicLong lastVersion = new AtomicLong();
    private final KeyWatches watches = new KeyWatches();
    private final Leases leases;

    public KeyValueStore(LongSupplier nowMs, ActionScheduler scheduler) {
        leases = new Leases(nowMs, scheduler, this::deleteKeysOfLease);
    }

    public Leases leases() {
        return leases;
    }

    public KeyWatches watches() {
        return watches;
    }

    public Optional<VersionedValue> read(String key) {
        return keys.getOrDefault(key, KeyHistory.none()).current();
    }

    /** Returns the value of the key before the last change of the key. */
    public Optional<VersionedValue> readPrevious(String key) {
        return keys.getOrDefault(key, KeyHistory.none()).previous();
    }

    /**
     * Writes a value if the key has the expected version.
     *
     * @param ifVersion expected version, 0 for an absent key
     * @param lease id of the lease to attach the key to, 0 for no lease
     */
    public WriteResult write(String key, long ifVersion, ImmutableBytes value, long lease) {
        if (lease != NO_LEASE && !leases.exists(lease)) {
            return new WriteResult.LeaseNotFound(lease);
        }
        WriteResult result =
                updateIfVersion(
                        key,
                        ifVersion,
                        history ->
                                history.withValue(
                                        new VersionedValue(
                                                value, lastVersion.incrementAndGet(), lease)));
        // If the lease expired after the check above, the deletion of the keys of the lease may
        // have missed this key.
        if (lease != NO_LEASE && !leases.exists(lease)) {
            deleteIfAttached(key, lease);
        }
        watches.notifyWatches(key, read(key));
        return result;
    }

    /**
     * Deletes a key if the key has the expected version; deletion of an absent key changes nothing.
     */
    public WriteResult delete(String key, long ifVersion) {
        return updateIfVersion(
                key,
                ifVersion,
                history -> history.current().isPresent() ? history.withoutValue() : history);
    }

    /**
     * Waits until the version of the key is greater than {@code afterVersion}. A deletion does not
     * end the wait.
     *
     * @param listener receives the value, or an empty optional if the wait timed out
     * @param disconnect closes the connection of the client
     */
    public KeyWatches.Watch watch(
            String key,
            long afterVersion,
            Consumer<Optional<VersionedValue>> listener,
            Runnable disconnect) {
        KeyWatches.Watch watch = watches.add(key, afterVersion, listener, disconnect);
        watches.notifyWatches(key, read(key));
        return watch;
    }

    private WriteResult updateIfVersion(
            String key, long ifVersion, UnaryOperator<KeyHistory> update) {
        KeyHistory[] previousHistory = new KeyHistory[1];
        KeyHistory updatedHistory =
                keys.compute(
                        key,
                        (ignored, existing) -> {
                            KeyHistory history = existing == null ? KeyHistory.none() : existing;
                            previousHistory[0] = history;
                            return history.version() == ifVersion ? update.apply(history) : history;
                        });
        return previousHistory[0].version() == ifVersion
                ? new WriteResult.Applied(updatedHistory.version())
                : new WriteResult.Conflict(previousHistory[0].version());
    }

    private void deleteKeysOfLease(long lease) {
        keys.keySet().forEach(key -> deleteIfAttached(key, lease));
    }

    private void deleteIfAttached(String key, long lease) {
        keys.computeIfPresent(
                key,
                (ignored, history) ->
                        history.current().filter(value -> value.lease() == lease).isPresent()
                                ? history.withoutValue()
                                : history);
    }
}
