package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.standins.state.VersionedValue;

/**
 * Holds the clients that wait for a new version of a key. Each listener is called at most once.
 * Thread-safe.
 */
public final class KeyWatches {

    /** One waiting client. */
    public static final class Watch {

        private final String key;
        private final long afterVersion;
        private final Consumer<Optional<VersionedValue>> listener;
        private final Runnable disconnect;
        private final AtomicBoolean ended = new AtomicBoolean();

        private Watch(
                String key,
                long afterVersion,
                Consumer<Optional<VersionedValue>> listener,
                Runnable disconnect) {
            this.key = key;
            this.afterVersion = afterVersion;
            this.listener = listener;
            this.disconnect = disconnect;
        }

        private boolean isSatisfiedBy(Optional<VersionedValue> value) {
            return value.isPresent() && value.get().version() > afterVersion;
        }
    }

    private final Map<String, Set<Watch>> watchesByKey = new ConcurrentHashMap<>();

    /**
     * Adds a watch. Call {@link #notifyWatches} afterwards, because the value may have changed
     * before the watch was added.
     *
     * @param listener receives the value, or an empty optional if the wait timed out
     * @param disconnect closes the connection of the client
     */
    public Watch add(
            String key,
            long afterVersion,
            Consumer<Optional<VersionedValue>> listener,
            Runnable disconnect) {
        Watch watch = new Watch(key, afterVersion, listener, disconnect);
        watchesByKey.compute(
                key,
                (ignored, existing) -> {
                    Set<Watch> keyWatches =
                            existing == null ? ConcurrentHashMap.newKeySet() : existing;
                    keyWatches.add(watch);
                    return keyWatches;
                });
        return watch;
    }

    /**
     * Passes a value to the watches whose {@code afterVersion} is lower than the version of the
     * value.
     */
    public void notifyWatches(String key, Optional<VersionedValue> value) {
        for (Watch watch : watchesByKey.getOrDefault(key, Set.of())) {
            if (watch.isSatisfiedBy(value)) {
                end(watch, () -> watch.listener.accept(value));
            }
        }
    }

    /** Ends a watch and passes an empty optional to the listener. */
    public void timeOut(Watch watch) {
        end(watch, () -> watch.listener.accept(Optional.empty()));
    }

    /** Ends a watch without calling the listener. */
    public void cancel(Watch watch) {
        end(watch, () -> {});
    }

    /**
     * Ends the watches of matching keys without calling the listeners; the connections stay open.
     */
    public void cancelAll(Predicate<String> keyFilter) {
        endMatching(keyFilter, watch -> {});
    }

    /** Ends the watches of matching keys and closes the connections of the clients. */
    public void disconnectAll(Predicate<String> keyFilter) {
        endMatching(keyFilter, watch -> watch.disconnect.run());
    }

    /** Returns the number of watches that have not ended. */
    public int waitingCount() {
        return watchesByKey.values().stream().mapToInt(Set::size).sum();
    }

    private void endMatching(Predicate<String> keyFilter, Consumer<Watch> action) {
        watchesByKey.forEach(
                (key, watches) -> {
                    if (keyFilter.test(key)) {
                        watches.forEach(watch -> end(watch, () -> action.accept(watch)));
                    }
                });
    }

    private void end(Watch watch, Runnable action) {
        if (!watch.ended.compareAndSet(false, true)) {
            return;
        }
        watchesByKey.computeIfPresent(
                watch.key,
                (ignored, keyWatches) -> {
                    keyWatches.remove(watch);
                    return keyWatches.isEmpty() ? null : keyWatches;
                });
        action.run();
    }
}
