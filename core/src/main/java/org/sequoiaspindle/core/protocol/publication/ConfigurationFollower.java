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
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;

/**
 * Brings newer configurations into force on this instance. Heads come from peers and from a watch
 * on the store; a head is adopted only if its generation is higher than the one in force, all its
 * parts match their digests and the whole set passes the check.
 */
public final class ConfigurationFollower implements HeadReceiver, AutoCloseable {
    private final SnapshotHolder holder;
    private final ObjectSetFunctions functions;
    private final Consumer<HeldConfiguration> listener;
    private final EventLog events;
    private final PartCollector collector;
    private final HeadWatch watch;
    private final AtomicReference<HeldConfiguration> held =
            new AtomicReference<>(HeldConfiguration.none());

    /** Generations being fetched, each with the source to try if the present one fails. */
    private final AtomicReference<Map<Long, Option<PartSource>>> fetching =
            new AtomicReference<>(HashMap.empty());

    /** Last head whose parts were whole but unusable, so that it is not fetched again. */
    private final AtomicReference<Option<Head>> refused = new AtomicReference<>(Option.none());

    /**
     * @param clock monotonic clock
     * @param random numbers from 0 inclusive to 1 exclusive, for jitter
     * @param watching whether this instance is to watch the store now
     * @param listener told after each adoption, for announcements to peers; must not block
     */
    public ConfigurationFollower(
            Store store,
            Timer timer,
            MillisClock clock,
            DoubleSupplier random,
            BooleanSupplier watching,
            ObjectSetFunctions functions,
            SnapshotHolder holder,
            Consumer<HeldConfiguration> listener,
            EventLog events) {
        this.holder = holder;
        this.functions = functions;
        this.listener = listener;
        this.events = events;
        this.collector = new PartCollector(new StorePartSource(store, timer), timer);
        this.watch =
                new HeadWatch(
                        store,
                        timer,
                        clock,
                        random,
                        watching,
                        () -> !holder.current().isNone(),
                        head -> take(head, collector.storeSource()),
                        events);
    }

    /** Starts the watch. Calls after the first have no effect. */
    public void start() {
        watch.start();
    }

    /** Ends the watch. Offers of peers are still taken. */
    @Override
    public void close() {
        watch.stop();
    }

    @Override
    public void offer(Head head, PartSource source) {
        take(head, source);
    }

    /** The configuration in force with its parts, to be served to peers. */
    public HeldConfiguration held() {
        return held.get();
    }

    /** Whether, in the end, there is nothing more to learn from the head. */
    private CompletionStage<Boolean> take(Head head, PartSource source) {
        long current = holder.current().generation();
        if (head.generation() <= current) {
            reportOlder(head, current);
            return CompletableFuture.completedStage(true);
        }
        if (refused.get().contains(head)) {
            return CompletableFuture.completedStage(true);
        }
        if (!begin(head.generation(), source)) {
            return CompletableFuture.completedStage(false);
        }
        return collector
                .collect(head, held.get().parts(), source)
                .thenCompose(collected -> finish(head, collected));
    }

    private CompletionStage<Boolean> finish(
            Head head, Either<String, Map<String, String>> collected) {
        boolean settled =
                collected.fold(reason -> unreadable(head, reason), texts -> settle(head, texts));
        Option<PartSource> alternate = end(head.generation());
        return !settled && alternate.isDefined()
                ? take(head, alternate.get())
                : CompletableFuture.completedStage(settled);
    }

    private boolean settle(Head head, Map<String, String> texts) {
        Either<String, ObjectSet> checked = checked(head, texts);
        if (checked.isLeft()) {
            refused.set(Option.some(head));
            unreadable(head, checked.getLeft());
            return true;
        }
        if (!holder.adopt(Snapshot.of(head.generation(), checked.get()))) {
            return true;
        }
        hold(new HeldConfiguration(Option.some(head), texts));
        return true;
    }

    private Either<String, ObjectSet> checked(Head head, Map<String, String> texts) {
        Vector<Either<String, ObjectSet>> parts =
                head.parts().map(part -> texts.get(part.digest()).get()).map(functions.reader());
        return Either.sequenceRight(parts).map(ConfigurationParts::join).flatMap(this::consistent);
    }

    private Either<String, ObjectSet> consistent(ObjectSet set) {
        Vector<Problem> problems = functions.checker().apply(set);
        return problems.isEmpty()
                ? Either.right(set)
                : Either.left(problems.size() + " problems, first: " + problems.head());
    }

    private void hold(HeldConfiguration adopted) {
        long generation = adopted.head().get().generation();
        HeldConfiguration before =
                held.getAndUpdate(now -> generationOf(now) < generation ? adopted : now);
        events.record(
                LogEvent.CONFIGURATION_ADOPTED,
                HashMap.of("generation", generation, "operator", adopted.head().get().operator()));
        if (generationOf(before) < generation) {
            listener.accept(adopted);
        }
    }

    private static long generationOf(HeldConfiguration configuration) {
        return configuration.head().map(Head::generation).getOrElse(Snapshot.NO_GENERATION);
    }

    private boolean begin(long generation, PartSource source) {
        Map<Long, Option<PartSource>> before =
                fetching.getAndUpdate(
                        running ->
                                running.put(
                                        generation,
                                        running.containsKey(generation)
                                                ? Option.some(source)
                                                : Option.none()));
        return !before.containsKey(generation);
    }

    private Option<PartSource> end(long generation) {
        return fetching.getAndUpdate(running -> running.remove(generation))
                .get(generation)
                .flatMap(alternate -> alternate);
    }

    private boolean unreadable(Head head, String reason) {
        events.record(
                LogEvent.CONFIGURATION_UNREADABLE,
                HashMap.of("generation", head.generation(), "reason", reason));
        return false;
    }

    private void reportOlder(Head head, long current) {
        if (head.generation() < current) {
            events.record(
                    LogEvent.CONFIGURATION_OLDER_IGNORED,
                    HashMap.of("generation", head.generation(), "inForce", current));
        }
    }
}
