package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Watches the head in the store while this instance is a watcher. An instance that is not a watcher
 * and has no configuration yet reads the head once a second, so that the instance can start
 * although it is not a watcher. At most one store call is in flight at a time.
 */
final class HeadWatcher {
    /**
     * Time in milliseconds after which the store responds to a watch although the head has not
     * changed.
     */
    static final long WATCH_WAIT_MS = 2_000;

    /**
     * Time in milliseconds beyond {@link #WATCH_WAIT_MS} after which a watch without a response is
     * abandoned.
     */
    static final long RESPONSE_GRACE_MS = 1_000;

    /**
     * Interval in milliseconds at which an instance that is not a watcher checks whether to watch
     * or read.
     */
    static final long RECHECK_INTERVAL_MS = 1_000;

    private static final long MIN_RETRY_DELAY_MS = 200;
    private static final long MAX_RETRY_DELAY_MS = 2_000;

    private final Store store;
    private final StoreReader reader;
    private final Timer timer;
    private final MillisClock clock;
    private final DoubleSupplier random;
    private final BooleanSupplier isWatcher;
    private final BooleanSupplier hasConfiguration;
    private final Function<ConfigurationHead, CompletionStage<Boolean>> headHandler;
    private final EventLog events;
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicBoolean storeAvailable = new AtomicBoolean(true);
    private final AtomicLong handledVersion = new AtomicLong(StoreCommand.ABSENT);

    HeadWatcher(
            Store store,
            Timer timer,
            MillisClock clock,
            DoubleSupplier random,
            BooleanSupplier isWatcher,
            BooleanSupplier hasConfiguration,
            Function<ConfigurationHead, CompletionStage<Boolean>> headHandler,
            EventLog events) {
        this.store = store;
        this.reader = new StoreReader(store, timer);
        this.timer = timer;
        this.clock = clock;
        this.random = random;
        this.isWatcher = isWatcher;
        this.hasConfiguration = hasConfiguration;
        this.headHandler = headHandler;
        this.events = events;
    }

    void start() {
        if (started.compareAndSet(false, true)) {
            timer.schedule(0, this::runStep);
        }
    }

    void stop() {
        stopped.set(true);
    }

    private void runStep() {
        if (stopped.get()) {
            return;
        }
        if (isWatcher.getAsBoolean()) {
            watchOnce().thenAccept(delay -> timer.schedule(delay, this::runStep));
        } else if (hasConfiguration.getAsBoolean()) {
            timer.schedule(RECHECK_INTERVAL_MS, this::runStep);
        } else {
            reader.read(ConfigurationKeys.HEAD)
                    .thenCompose(this::onResult)
                    .thenAccept(handled -> timer.schedule(RECHECK_INTERVAL_MS, this::runStep));
        }
    }

    /** Waits for one change and returns the delay before the next watch in milliseconds. */
    private CompletionStage<Long> watchOnce() {
        long startMillis = clock.now();
        CompletionStage<StoreResult> result =
                timer.withTimeout(
                        store.execute(
                                new StoreCommand.AwaitChange(
                                        ConfigurationKeys.HEAD,
                                        handledVersion.get(),
                                        WATCH_WAIT_MS)),
                        WATCH_WAIT_MS + RESPONSE_GRACE_MS,
                        this::onWatchTimeout);
        return result.thenCompose(this::onResult)
                .thenApply(handled -> delayBeforeNextWatch(handled, clock.now() - startMillis));
    }

    private StoreResult onWatchTimeout() {
        events.record(
                LogEvent.WATCH_SILENT, HashMap.of("limitMs", WATCH_WAIT_MS + RESPONSE_GRACE_MS));
        return new StoreResult.Unavailable("the store did not answer the watch in time");
    }

    /**
     * Returns the delay before the next watch in milliseconds. An early response without a new head
     * is followed by a delay, too, so that a store that responds to watches at once is not called
     * in a tight loop.
     */
    private long delayBeforeNextWatch(boolean handled, long elapsedMillis) {
        return handled || elapsedMillis >= WATCH_WAIT_MS / 2 && storeAvailable.get()
                ? 0
                : MIN_RETRY_DELAY_MS
                        + (long) (random.getAsDouble() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS));
    }

    /**
     * Passes a new head to the handler. The result is true if the head need not be processed again.
     */
    private CompletionStage<Boolean> onResult(StoreResult result) {
        logAvailability(result);
        if (!(result instanceof StoreResult.Found found)
                || found.version() <= handledVersion.get()) {
            return CompletableFuture.completedStage(false);
        }
        Either<String, ConfigurationHead> head = HeadReader.read(found.value().text());
        if (head.isLeft()) {
            events.record(
                    LogEvent.CONFIGURATION_UNREADABLE,
                    HashMap.of("version", found.version(), "reason", head.getLeft()));
            return CompletableFuture.completedStage(false);
        }
        return headHandler
                .apply(head.get())
                .thenApply(
                        handled -> {
                            if (handled) {
                                handledVersion.accumulateAndGet(found.version(), Math::max);
                            }
                            return handled;
                        });
    }

    private void logAvailability(StoreResult result) {
        if (result instanceof StoreResult.Unavailable unavailable) {
            if (storeAvailable.compareAndSet(true, false)) {
                events.record(
                        LogEvent.STORE_UNAVAILABLE, HashMap.of("reason", unavailable.reason()));
            }
        } else if (storeAvailable.compareAndSet(false, true)) {
            events.record(LogEvent.STORE_RECOVERED, HashMap.empty());
        }
    }
}
