package org.sequoiaspindle.core.protocol.relay;

import io.vavr.collection.HashMap;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
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
 * Reads the platform's store through the first instances of the data centre that respond, and
 * directly if there is none. Writes are always direct. Only a failure of the direct way is reported
 * as a failure of the store. Thread-safe.
 */
public final class RelayedStore implements Store {

    /** Readers that are asked for one command before the store is read directly. */
    private static final int MAX_READERS_ASKED = 2;

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
        return executeAt(candidates, command, MAX_READERS_ASKED);
    }

    private CompletionStage<StoreResult> executeAt(
            List<InstanceEntry> candidates, StoreCommand command, int readersLeft) {
        Optional<InstanceEntry> reader =
                candidates.stream()
                        .filter(entry -> !holdOff.get().isHeldOff(entry.name(), clock.now()))
                        .findFirst();
        if (reader.isEmpty() || readersLeft == 0) {
            return executeDirectly(command, !candidates.isEmpty());
        }
        String name = reader.get().name();
        return readers.execute(reader.get(), command)
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Unavailable) {
                                holdOff.updateAndGet(
                                        current -> current.withFailure(name, clock.now()));
                                return executeAt(candidates, command, readersLeft - 1);
                            }
                            holdOff.updateAndGet(current -> current.withSuccess(name));
                            recordReader(name);
                            return CompletableFuture.completedFuture(result);
                        });
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
