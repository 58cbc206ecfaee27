package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;

/**
 * Adopts newer configurations on this instance. Heads arrive from peers and from a watch on the
 * store. A head is adopted only if its generation is higher than the active generation, every part
 * matches its digest and the joined object set is consistent.
 */
public final class ConfigurationFollower implements HeadReceiver, AutoCloseable {
    private final SnapshotHolder snapshotHolder;
    private final ObjectSetFunctions functions;
    private final Consumer<ActiveConfiguration> adoptionListener;
    private final EventLog events;
    private final PartCollector collector;
    private final HeadWatcher watcher;
    private final AtomicReference<ActiveConfiguration> activeConfiguration =
            new AtomicReference<>(ActiveConfiguration.none());

    /**
     * Generations whose parts are being fetched, each with the source to try if the fetch from the
     * current source fails.
     */
    private final AtomicReference<Map<Long, Option<PartSource>>> fetches =
            new AtomicReference<>(HashMap.empty());

    /**
     * Last head whose parts were complete but formed an unreadable or inconsistent object set. The
     * parts of this head are not fetched again.
     */
    private final AtomicReference<Option<ConfigurationHead>> lastUnusableHead =
            new AtomicReference<>(Option.none());

    /**
     * @param clock monotonic clock
     * @param random random numbers from 0 inclusive to 1 exclusive, for jitter
     * @param isWatcher returns true while this instance has to watch the store
     * @param adoptionListener notified after each adoption, to announce the adopted configuration
     *     to peers; must not block
     */
    public ConfigurationFollower(
            Store store,
            Timer timer,
            MillisClock clock,
            DoubleSupplier random,
            BooleanSupplier isWatcher,
            ObjectSetFunctions functions,
            SnapshotHolder snapshotHolder,
            Consumer<ActiveConfiguration> adoptionListener,
            EventLog events) {
        this.snapshotHolder = snapshotHolder;
        this.functions = functions;
        this.adoptionListener = adoptionListener;
        this.events = events;
        this.collector = new PartCollector(new StorePartSource(store, timer), timer);
        this.watcher =
                new HeadWatcher(
                        store,
                        timer,
                        clock,
                        random,
                        isWatcher,
                        () -> !snapshotHolder.current().isInitial(),
                        head -> process(head, collector.storeSource()),
                        events);
    }

    /** Starts the watcher. Calls after the first have no effect. */
    public void start() {
        watcher.start();
    }

    /** Stops the watcher. Heads offered by peers are still processed. */
    @Override
    public void close() {
        watcher.stop();
    }

    @Override
    public void offer(ConfigurationHead head, PartSource source) {
        process(head, source);
    }

    /** Returns the active configuration with the parts that peers can fetch. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration.get();
    }

    /**
     * Adopts the head if it is newer than the active configuration and usable. The result is false
     * if the head has to be processed again. This happens if parts of the head could not be fetched
     * or another fetch of the same generation is running.
     */
    private CompletionStage<Boolean> process(ConfigurationHead head, PartSource source) {
        long current = snapshotHolder.current().generation();
        if (head.generation() <= current) {
            logOlder(head, current);
            return CompletableFuture.completedStage(true);
        }
        if (lastUnusableHead.get().contains(head)) {
            return CompletableFuture.completedStage(true);
        }
        if (!beginFetch(head.generation(), source)) {
            return CompletableFuture.completedStage(false);
        }
        return collector
                .collect(head, activeConfiguration.get().parts(), source)
                .thenCompose(partsOrReason -> onPartsCollected(head, partsOrReason));
    }

    private CompletionStage<Boolean> onPartsCollected(
            ConfigurationHead head, Either<String, Map<String, String>> partsOrReason) {
        boolean handled =
                partsOrReason.fold(
                        reason -> logUnreadable(head, reason), parts -> adoptIfUsable(head, parts));
        Option<PartSource> alternateSource = endFetch(head.generation());
        return !handled && alternateSource.isDefined()
                ? process(head, alternateSource.get())
                : CompletableFuture.completedStage(handled);
    }

    private boolean adoptIfUsable(ConfigurationHead head, Map<String, String> parts) {
        Either<String, ObjectSet> setOrReason = readAndCheck(head, parts);
        if (setOrReason.isLeft()) {
            lastUnusableHead.set(Option.some(head));
            logUnreadable(head, setOrReason.getLeft());
            return true;
        }
        if (!snapshotHolder.adopt(Snapshot.of(head.generation(), setOrReason.get()))) {
            return true;
        }
        recordAdoption(new ActiveConfiguration(Option.some(head), parts));
        return true;
    }

    private Either<String, ObjectSet> readAndCheck(
            ConfigurationHead head, Map<String, String> parts) {
        Vector<Either<String, ObjectSet>> objectSets =
                head.parts().map(part -> parts.get(part.digest()).get()).map(functions.reader());
        return Either.sequenceRight(objectSets)
                .map(ConfigurationParts::join)
                .flatMap(this::requireConsistent);
    }

    private Either<String, ObjectSet> requireConsistent(ObjectSet set) {
        Vector<ValidationProblem> problems = functions.checker().apply(set);
        return problems.isEmpty()
                ? Either.right(set)
                : Either.left(problems.size() + " problems, first: " + problems.head());
    }

    private void recordAdoption(ActiveConfiguration newConfiguration) {
        long generation = newConfiguration.head().get().generation();
        ActiveConfiguration previous =
                activeConfiguration.getAndUpdate(
                        current -> generationOf(current) < generation ? newConfiguration : current);
        events.record(
                LogEvent.CONFIGURATION_ADOPTED,
                HashMap.of(
                        "generation",
                        generation,
                        "operator",
                        newConfiguration.head().get().operator()));
        if (generationOf(previous) < generation) {
            adoptionListener.accept(newConfiguration);
        }
    }

    private static long generationOf(ActiveConfiguration configuration) {
        return configuration
                .head()
                .map(ConfigurationHead::generation)
                .getOrElse(Snapshot.NO_GENERATION);
    }

    private boolean beginFetch(long generation, PartSource source) {
        Map<Long, Option<PartSource>> previous =
                fetches.getAndUpdate(
                        map ->
                                map.put(
                                        generation,
                                        map.containsKey(generation)
                                                ? Option.some(source)
                                                : Option.none()));
        return !previous.containsKey(generation);
    }

    private Option<PartSource> endFetch(long generation) {
        return fetches.getAndUpdate(map -> map.remove(generation))
                .get(generation)
                .flatMap(alternateSource -> alternateSource);
    }

    private boolean logUnreadable(ConfigurationHead head, String reason) {
        events.record(
                LogEvent.CONFIGURATION_UNREADABLE,
                HashMap.of("generation", head.generation(), "reason", reason));
        return false;
    }

    private void logOlder(ConfigurationHead head, long current) {
        if (head.generation() < current) {
            events.record(
                    LogEvent.CONFIGURATION_OLDER_IGNORED,
                    HashMap.of("generation", head.generation(), "inForce", current));
        }
    }
}
