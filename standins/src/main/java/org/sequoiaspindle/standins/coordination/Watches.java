package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.standins.state.Versioned;

/** Callers that wait for a version of a key. Each is told at most once. */
public final class Watches {

    /** One waiting caller. */
    public static final class Watch {

        private final String key;
        private final long afterVersion;
        private final Consumer<Optional<Versioned>> listener;
        private final Runnable disconnect;
        private final AtomicBoolean ended = new AtomicBoolean();

        private Watch(
                String key,
                long afterVersion,
                Consumer<Optional<Versioned>> listener,
                Runnable disconnect) {
            this.key = key;
            this.afterVersion = afterVersion;
            this.listener = listener;
            this.disconnect = disconnect;
        }

        private boolean isDue(Optional<Versioned> value) {
            return value.isPresent() && value.get().version() > afterVersion;
        }
    }

    private final Map<String, Set<Watch>> waiting = new ConcurrentHashMap<>();

    /**
     * Adds a caller. The value has to be offered again afterwards, because it may have changed
     * before the caller was added.
     *
     * @param listener receives the value, or nothing if the wait ended without one
     * @param disconnect closes the connection of the caller
     */
    public Watch add(
            String key,
            long afterVersion,
            Consumer<Optional<Versioned>> listener,
            Runnable disconnect) {
        Watch watch = new Watch(key, afterVersion, listener, disconnect);
        waiting.compute(
                key,
                (ignored, present) -> {
                    Set<Watch> set = present == null ? ConcurrentHashMap.newKeySet() : present;
                    set.add(watch);
                    return set;
                });
        return watch;
    }

    /** Tells the callers that wait for an earlier version than that of the value. */
    public void offer(String key, Optional<Versioned> value) {
        for (Watch watch : waiting.getOrDefault(key, Set.of())) {
            if (watch.isDue(value)) {
                end(watch, () -> watch.listener.accept(value));
            }
        }
    }

    /** Ends a wait without a value. */
    public void expire(Watch watch) {
        end(watch, () -> watch.listener.accept(Optional.empty()));
    }

    /** Forgets a caller without telling it anything. */
    public void forget(Watch watch) {
        end(watch, () -> {});
    }

    /** Forgets all callers that wait for such a key; their sockets stay open. */
    public void silence(Predicate<String> keys) {
        endAll(keys, watch -> {});
    }

    /** Disconnects all callers that wait for such a key. */
    public void disconnect(Predicate<String> keys) {
        endAll(keys, watch -> watch.disconnect.run());
    }

    /** Number of callers that wait. */
    public int size() {
        return waiting.values().stream().mapToInt(Set::size).sum();
    }

    private void endAll(Predicate<String> keys, Consumer<Watch> action) {
        waiting.forEach(
                (key, watches) -> {
                    if (keys.test(key)) {
                        watches.forEach(watch -> end(watch, () -> action.accept(watch)));
                    }
                });
    }

    private void end(Watch watch, Runnable action) {
        if (!watch.ended.compareAndSet(false, true)) {
            return;
        }
        waiting.computeIfPresent(
                watch.key,
                (ignored, set) -> {
                    set.remove(watch);
                    return set.isEmpty() ? null : set;
                });
        action.run();
    }
}
