package org.sequoiaspindle.core.protocol.relay;

import io.vavr.collection.HashMap;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.relay.DirectReadPause;
import org.sequoiaspindle.core.coordination.relay.ReaderHoldOff;
import org.sequoiaspindle.core.coordination.relay.StoreReaderSelector;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/**
 * Reads the platform's store through the first instance of the data centre that responds, and
 * directly if there is none. Writes are always direct. Only a failure of the direct way is reported
 * as a failure of the store. Thread-safe.
 *
 * <p>When a reader fails, everything that this instance knows may be as old as the oldest command
 * that the reader has not answered. All commands pending at the reader, and those of the next
 * {@link #CATCH_UP_MS}, are therefore sent to the next reader and directly at the same time.
 */
public final class RelayedStore implements Store {

    /**
     * Time after the failure of a reader in which commands are also executed directly, in
     * milliseconds: enough for a poll, a listing and a new watch.
     */
    static final long CATCH_UP_MS = 2_000;

    /** Name of this instance in the log, as the one through which the store is read. */
    private static final String SELF = "self";

    /** Executes a command at another instance; a missing response is a failure. */
    @FunctionalInterface
    public interface ReaderClient {

        CompletionStage<StoreResult> execute(InstanceEntry reader, StoreCommand command);
    }

    private final String instanceName;
    private final Supplier<Collection<InstanceEntry>> instances;
    private final ReaderClient readers;
    private final Store direct;
    private final MillisClock clock;
    private final EventLog events;
    private final AtomicReference<ReaderHoldOff> holdOff =
            new AtomicReference<>(ReaderHoldOff.NONE);
    private final AtomicReference<DirectReadPause> pause;
    private final AtomicReference<String> currentReader = new AtomicReference<>(SELF);
    private final AtomicLong catchUpUntil = new AtomicLong(Long.MIN_VALUE);

    /** Commands that a reader has not answered yet, by the name of the reader. */
    private final ConcurrentMap<String, Set<CompletableFuture<StoreResult>>> pendingByReader =
            new ConcurrentHashMap<>();

    /**
     * Creates a store that is read directly until other instances are known.
     *
     * @param instances returns the registered instances
     * @param direct executes commands without another instance
     */
    public RelayedStore(
            String instanceName,
            Supplier<Collection<InstanceEntry>> instances,
            ReaderClient readers,
            Store direct,
            MillisClock clock,
            EventLog events) {
        this.instanceName = instanceName;
        this.instances = instances;
        this.readers = readers;
        this.direct = direct;
        this.clock = clock;
        this.events = events;
        this.pause = new AtomicReference<>(DirectReadPause.none(instanceName));
    }

    @Override
    public CompletionStage<StoreResult> execute(StoreCommand command) {
        if (!SharedStore.isShareable(command)) {
            return direct.execute(command);
        }
        List<InstanceEntry> candidates =
                StoreReaderSelector.readersBefore(instanceName, instances.get());
        if (clock.now() < catchUpUntil.get()) {
            return executeBothWays(candidates, command);
        }
        Optional<InstanceEntry> reader = firstReader(candidates);
        return reader.isEmpty()
                ? executeDirectly(command, !candidates.isEmpty())
                : executeAt(reader.get(), command)
                        .thenCompose(
                                result ->
                                        result instanceof StoreResult.Unavailable
                                                ? executeBothWays(candidates, command)
                                                : CompletableFuture.completedFuture(result));
    }

    private Optional<InstanceEntry> firstReader(List<InstanceEntry> candidates) {
        return candidates.stream()
                .filter(entry -> !holdOff.get().isHeldOff(entry.name(), clock.now()))
                .findFirst();
    }

    /** Executes a command at the next reader and directly; the first usable result counts. */
    private CompletionStage<StoreResult> executeBothWays(
            List<InstanceEntry> candidates, StoreCommand command) {
        CompletionStage<StoreResult> directResult = executeDirectly(command, !candidates.isEmpty());
        return firstReader(candidates)
                .map(reader -> firstUsable(directResult, executeAt(reader, command)))
                .orElse(directResult);
    }

    private static CompletionStage<StoreResult> firstUsable(
            CompletionStage<StoreResult> one, CompletionStage<StoreResult> other) {
        CompletableFuture<StoreResult> first = new CompletableFuture<>();
        for (CompletionStage<StoreResult> stage : List.of(one, other)) {
            stage.thenAccept(
                    result -> {
                        if (!(result instanceof StoreResult.Unavailable)) {
                            first.complete(result);
                        }
                    });
        }
        one.thenCombine(other, (a, b) -> a).thenAccept(first::complete);
        return first;
    }

    private CompletionStage<StoreResult> executeAt(InstanceEntry reader, StoreCommand command) {
        CompletableFuture<StoreResult> pending = new CompletableFuture<>();
        Set<CompletableFuture<StoreResult>> pendingAtReader =
                pendingByReader.computeIfAbsent(
                        reader.name(), name -> ConcurrentHashMap.newKeySet());
        pendingAtReader.add(pending);
        readers.execute(reader, command).thenAccept(pending::complete);
        return pending.thenApply(
                result -> {
                    pendingAtReader.remove(pending);
                    if (result instanceof StoreResult.Unavailable) {
                        readerFailed(reader.name(), result);
                    } else {
                        holdOff.updateAndGet(current -> current.withSuccess(reader.name()));
                        recordReader(reader.name());
                    }
                    return result;
                });
    }

    /**
     * Holds a reader off and gives up all commands that are pending there. The failure of any of
     * these commands calls this method as well and has no further effect.
     */
    private void readerFailed(String reader, StoreResult failure) {
        Set<CompletableFuture<StoreResult>> pending = pendingByReader.remove(reader);
        if (pending == null) {
            return;
        }
        holdOff.updateAndGet(current -> current.withFailure(reader, clock.now()));
        catchUpUntil.set(clock.now() + CATCH_UP_MS);
        pending.forEach(command -> command.complete(failure));
    }

    /**
     * Executes a command directly.
     *
     * @param isFollower whether other instances precede this one, whose reads are paused after a
     *     failure
     */
    private CompletionStage<StoreResult> executeDirectly(StoreCommand command, boolean isFollower) {
        if (isFollower && pause.get().isPaused(clock.now())) {
            return CompletableFuture.completedFuture(
                    new StoreResult.Unavailable("no reader reaches the store"));
        }
        return direct.execute(command)
                .thenApply(
                        result -> {
                            boolean failed = result instanceof StoreResult.Unavailable;
                            pause.updateAndGet(
                                    current ->
                                            failed
                                                    ? current.afterFailure(clock.now())
                                                    : current.afterSuccess());
                            if (!failed) {
                                recordReader(SELF);
                            }
                            return result;
                        });
    }

    private void recordReader(String reader) {
        String before = currentReader.getAndSet(reader);
        if (!before.equals(reader)) {
            events.record(
                    LogEvent.STORE_READER_CHANGED, HashMap.of("reader", reader, "before", before));
        }
    }
}
