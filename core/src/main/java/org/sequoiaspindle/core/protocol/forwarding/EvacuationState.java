package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.state.forwarding.Evacuations;

/**
 * The evacuated data centres according to the keys that the operator writes: the rest of a key
 * after the prefix is the name of a data centre, and the value has no meaning. Thread-safe.
 */
final class EvacuationState {

    /**
     * Evacuated data centres.
     *
     * @param since time at which this instance learned of each evacuation, in milliseconds
     */
    private record Snapshot(Evacuations evacuations, Map<String, Long> since) {

        private Snapshot next(Evacuations after, long now) {
            return new Snapshot(
                    after,
                    after.evacuated().stream()
                            .collect(
                                    Collectors.toUnmodifiableMap(
                                            name -> name, name -> since.getOrDefault(name, now))));
        }
    }

    private final String prefix;
    private final BiFunction<Evacuations, Evacuations.Update, Evacuations> merge;
    private final MillisClock wallClock;
    private final EventLog events;
    private final AtomicReference<Snapshot> snapshot =
            new AtomicReference<>(new Snapshot(Evacuations.UNREAD, Map.of()));
    private volatile Consumer<String> onRestored = dataCentre -> {};

    /**
     * Creates a state into which nothing has been read.
     *
     * @param merge returns the state after an update
     */
    EvacuationState(
            String prefix,
            BiFunction<Evacuations, Evacuations.Update, Evacuations> merge,
            MillisClock wallClock,
            EventLog events) {
        this.prefix = prefix;
        this.merge = merge;
        this.wallClock = wallClock;
        this.events = events;
    }

    Evacuations current() {
        return snapshot.get().evacuations();
    }

    Map<String, Long> evacuatedSince() {
        return snapshot.get().since();
    }

    void onRestored(Consumer<String> listener) {
        onRestored = listener;
    }

    /** Applies a change of a key under the prefix. */
    void applyChange(StoreChange change) {
        update(
                new Evacuations.Change(
                        dataCentre(change),
                        change instanceof StoreChange.Written,
                        change.revision()));
    }

    /** Applies a complete listing of the keys under the prefix. */
    void applyListing(Collection<StoreChange.Written> items, long revision) {
        Map<String, Long> evacuatedAt =
                items.stream()
                        .collect(
                                Collectors.toMap(
                                        this::dataCentre, StoreChange::revision, Math::max));
        update(new Evacuations.Listing(evacuatedAt, revision));
    }

    private String dataCentre(StoreChange change) {
        return change.key().substring(prefix.length());
    }

    private void update(Evacuations.Update update) {
        long now = wallClock.now();
        // What a restoration restricts must be in force before the endpoints are open again.
        Evacuations current = current();
        Evacuations expected = merge.apply(current, update);
        current.evacuated().stream()
                .filter(name -> !expected.isEvacuated(name))
                .forEach(onRestored);
        Evacuations before =
                snapshot.getAndUpdate(
                                last -> last.next(merge.apply(last.evacuations(), update), now))
                        .evacuations();
        Evacuations after = merge.apply(before, update);
        for (String name : after.evacuated()) {
            if (!before.isEvacuated(name)) {
                record(LogEvent.DATA_CENTRE_EVACUATED, name, after);
            }
        }
        for (String name : before.evacuated()) {
            if (!after.isEvacuated(name)) {
                record(LogEvent.DATA_CENTRE_RESTORED, name, after);
            }
        }
    }

    private void record(LogEvent event, String dataCentre, Evacuations after) {
        events.record(
                event,
                HashMap.of("dataCentre", dataCentre, "revision", after.knownRevision(dataCentre)));
    }
}
