package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.standins.state.Content;
import org.sequoiaspindle.standins.state.KeyHistory;
import org.sequoiaspindle.standins.state.Versioned;
import org.sequoiaspindle.standins.state.WriteResult;

/**
 * Versioned keys with conditional writes, watches and leases. Versions come from one counter, so
 * those of a key rise strictly also across deletion and re-creation. Thread-safe.
 */
public final class KeyValueStore {

    private static final long NO_LEASE = 0;

    private final Map<String, KeyHistory> keys = new ConcurrentHashMap<>();
    private final AtomicLong lastVersion = new AtomicLong();
    private final Watches watches = new Watches();
    private final Leases leases;

    public KeyValueStore(LongSupplier nowMs, Timer timer) {
        leases = new Leases(nowMs, timer, this::removeKeysOf);
    }

    public Leases leases() {
        return leases;
    }

    public Watches watches() {
        return watches;
    }

    public Optional<Versioned> read(String key) {
        return keys.getOrDefault(key, KeyHistory.none()).current();
    }

    /** State of the key before its last change. */
    public Optional<Versioned> readPrevious(String key) {
        return keys.getOrDefault(key, KeyHistory.none()).previous();
    }

    /**
     * Writes a value if the key has the expected version, 0 for absent.
     *
     * @param lease lease to attach the key to, 0 for none
     */
    public WriteResult write(String key, long ifVersion, Content value, long lease) {
        if (lease != NO_LEASE && !leases.exists(lease)) {
            return new WriteResult.LeaseGone(lease);
        }
        WriteResult result =
                change(
                        key,
                        ifVersion,
                        history ->
                                history.written(
                                        new Versioned(
                                                value, lastVersion.incrementAndGet(), lease)));
        // The lease may have lapsed after the check, and its removal of keys may have missed this.
        if (lease != NO_LEASE && !leases.exists(lease)) {
            removeIfAttached(key, lease);
        }
        watches.offer(key, read(key));
        return result;
    }

    /** Deletes a key if it has the expected version; deletion of an absent key changes nothing. */
    public WriteResult delete(String key, long ifVersion) {
        return change(
                key,
                ifVersion,
                history -> history.current().isPresent() ? history.deleted() : history);
    }

    /**
     * Waits for a version above the given one. Deletion does not end a wait.
     *
     * @param listener receives the value, or nothing if the wait ended without one
     * @param disconnect closes the connection of the caller
     */
    public Watches.Watch watch(
            String key,
            long afterVersion,
            Consumer<Optional<Versioned>> listener,
            Runnable disconnect) {
        Watches.Watch watch = watches.add(key, afterVersion, listener, disconnect);
        watches.offer(key, read(key));
        return watch;
    }

    private WriteResult change(String key, long ifVersion, UnaryOperator<KeyHistory> change) {
        KeyHistory[] before = new KeyHistory[1];
        KeyHistory after =
                keys.compute(
                        key,
                        (ignored, present) -> {
                            KeyHistory history = present == null ? KeyHistory.none() : present;
                            before[0] = history;
                            return history.version() == ifVersion ? change.apply(history) : history;
                        });
        return before[0].version() == ifVersion
                ? new WriteResult.Applied(after.version())
                : new WriteResult.Conflict(before[0].version());
    }

    private void removeKeysOf(long lease) {
        keys.keySet().forEach(key -> removeIfAttached(key, lease));
    }

    private void removeIfAttached(String key, long lease) {
        keys.computeIfPresent(
                key,
                (ignored, history) ->
                        history.current().filter(value -> value.lease() == lease).isPresent()
                                ? history.deleted()
                                : history);
    }
}
