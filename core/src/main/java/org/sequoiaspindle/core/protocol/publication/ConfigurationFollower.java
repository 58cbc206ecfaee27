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
 * store. A head is adopted only if its generation is higher than the one in force, all its parts
 * match their digests and the joined object set is consistent.
 */
public final class ConfigurationFollower implements HeadReceiver, AutoCloseable {
    private final SnapshotHolder holder;
    private final ObjectSetFunctions functions;
    private final Consumer<ActiveConfiguration> listener;
    private final EventLog events;
    private final PartCollector collector;
    private final HeadWatcher watcher;
    private final AtomicReference<ActiveConfiguration> activeConfiguration =
            new AtomicReference<>(ActiveConfiguration.none());

    /**
     * Generations whose parts are being fetched, each with the source to try if the current one
     * fails.
     */
    private final AtomicReference<Map<Long, Option<PartSource>>> fetching =
            new AtomicReference<>(HashMap.empty());

    /**
     * Last head whose parts were complete but formed an unreadable or inconsistent set. It is not
     * fetched again.
     */
    private final AtomicReference<Option<ConfigurationHead>> lastUnusable =
            new AtomicReference<>(Option.none());

    /**
     * @param clock monotonic clock
     * @param random random numbers from 0 inclusive to 1 exclusive, for jitter
     * @param watching whether this instance currently has to watch the store
     * @param listener notified after each adoption, to announce it to peers; must not block
     */
    public ConfigurationFollower(
            Store store,
            Timer timer,
            MillisClock clock,
            DoubleSupplier random,
            BooleanSupplier watching,
            ObjectSetFunctions functions,
            SnapshotHolder holder,
            Consumer<ActiveConfiguration> listener,
            EventLog events) {
        this.holder = holder;
        this.functions = functions;
        this.listener = listener;
        this.events = events;
        this.collector = new PartCollector(new StorePartSource(store, timer), timer);
        this.watcher =
                new HeadWatcher(
                        store,
                        timer,
                        clock,
                        random,
                        watching,
                        () -> !holder.current().isNone(),
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

    /** The configuration in force with its parts, for peers that fetch it. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration.get();
    }

    /**
     * Adopts the head if it is newer and usable. The result is false if the head has to be
     * processed again, because its parts could not be fetched or another fetch of its generation is
     * running.
     */
    private CompletionStage<Boolean> process(ConfigurationHead head, PartSource source) {
        long current = holder.current().generation();
        if (head.generation() <= current) {
            reportOlder(head, current);
            return CompletableFuture.completedStage(true);
        }
        if (lastUnusable.get().contains(head)) {
            return CompletableFuture.completedStage(true);
        }
        if (!beginFetch(head.generation(), source)) {
            return CompletableFuture.completedStage(false);
        }
        return collector
                .collect(head, activeConfiguration.get().parts(), source)
                .thenCompose(collected -> onPartsCollected(head, collected));
    }

    private CompletionStage<Boolean> onPartsCollected(
            ConfigurationHead head, Either<String, Map<String, String>> collected) {
        boolean handled =
                collected.fold(
                        reason -> reportUnreadable(head, reason),
                        texts -> adoptIfUsable(head, texts));
        Option<PartSource> alternate = endFetch(head.generation());
        return !handled && alternate.isDefined()
                ? process(head, alternate.get())
                : CompletableFuture.completedStage(handled);
    }

    private boolean adoptIfUsable(ConfigurationHead head, Map<String, String> texts) {
        Either<String, ObjectSet> checked = readAndCheck(head, texts);
        if (checked.isLeft()) {
            lastUnusable.set(Option.some(head));
            reportUnreadable(head, checked.getLeft());
            return true;
        }
        if (!holder.adopt(Snapshot.of(head.generation(), checked.get()))) {
            return true;
        }
        recordAdoption(new ActiveConfiguration(Option.some(head), texts));
        return true;
    }

    private Either<String, ObjectSet> readAndCheck(
            ConfigurationHead head, Map<String, String> texts) {
        Vector<Either<String, ObjectSet>> parts =
                head.parts().map(part -> texts.get(part.digest()).get()).map(functions.reader());
        return Either.sequenceRight(parts)
                .map(ConfigurationParts::join)
                .flatMap(this::requireConsistent);
    }

    private Either<String, ObjectSet> requireConsistent(ObjectSet set) {
        Vector<ValidationProblem> problems = functions.checker().apply(set);
        return problems.isEmpty()
                ? Either.right(set)
                : Either.left(problems.size() + " problems, first: " + problems.head());
    }

    private void recordAdoption(ActiveConfiguration adopted) {
        long generation = adopted.head().get().generation();
        ActiveConfiguration before =
                activeConfiguration.getAndUpdate(
                        current -> generationOf(current) < generation ? adopted : current);
        events.record(
                LogEvent.CONFIGURATION_ADOPTED,
                HashMap.of("generation", generation, "operator", adopted.head().get().operator()));
        if (generationOf(before) < generation) {
            listener.accept(adopted);
        }
    }

    private static long generationOf(ActiveConfiguration configuration) {
        return configuration
                .head()
                .map(ConfigurationHead::generation)
                .getOrElse(Snapshot.NO_GENERATION);
    }

    private boolean beginFetch(long generation, PartSource source) {
        Map<Long, Option<PartSource>> before =
                fetching.getAndUpdate(
                        fetches ->
                                fetches.put(
                                        generation,
                                        fetches.containsKey(generation)
                                                ? Option.some(source)
                                                : Option.none()));
        return !before.containsKey(generation);
    }

    private Option<PartSource> endFetch(long generation) {
        return fetching.getAndUpdate(fetches -> fetches.remove(generation))
                .get(generation)
                .flatMap(alternate -> alternate);
    }

    private boolean reportUnreadable(ConfigurationHead head, String reason) {
        events.record(
                LogEvent.CONFIGURATION_UNREADABLE,
                HashMap.of("generation", head.generation(), "reason", reason));
        return false;
    }

    private void reportOlder(ConfigurationHead head, long current) {
        if (head.generation() < current) {
            events.record(
                    LogEvent.CONFIGURATION_OLDER_IGNORED,
                    HashMap.of("generation", head.generation(), "inForce", current));
        }
    }
}
