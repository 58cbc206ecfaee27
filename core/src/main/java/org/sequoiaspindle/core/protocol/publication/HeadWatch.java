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
 * Watches the head in the store while this instance is a watcher. An instance that has no
 * configuration yet reads the head once a second instead, so that a start does not depend on being
 * a watcher. Only one call is awaited at a time.
 */
final class HeadWatch {
    /** Time that the store may hold a watch, in milliseconds. */
    static final long WATCH_WAIT_MS = 2_000;

    /** Time beyond the wait after which the connection counts as silent, in milliseconds. */
    static final long SILENCE_MS = 1_000;

    /** Interval at which an instance that does not watch looks again, in milliseconds. */
    static final long RECHECK_MS = 1_000;

    private static final long MIN_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 2_000;

    private final Store store;
    private final StoreReader reader;
    private final Timer timer;
    private final MillisClock clock;
    private final DoubleSupplier random;
    private final BooleanSupplier watching;
    private final BooleanSupplier configured;
    private final Function<Head, CompletionStage<Boolean>> receiver;
    private final EventLog events;
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicBoolean available = new AtomicBoolean(true);
    private final AtomicLong seenVersion = new AtomicLong(StoreCommand.ABSENT);

    HeadWatch(
            Store store,
            Timer timer,
            MillisClock clock,
            DoubleSupplier random,
            BooleanSupplier watching,
            BooleanSupplier configured,
            Function<Head, CompletionStage<Boolean>> receiver,
            EventLog events) {
        this.store = store;
        this.reader = new StoreReader(store, timer);
        this.timer = timer;
        this.clock = clock;
        this.random = random;
        this.watching = watching;
        this.configured = configured;
        this.receiver = receiver;
        this.events = events;
    }

    void start() {
        if (started.compareAndSet(false, true)) {
            timer.schedule(0, this::step);
        }
    }

    void stop() {
        stopped.set(true);
    }

    private void step() {
        if (stopped.get()) {
            return;
        }
        if (watching.getAsBoolean()) {
            watchOnce().thenAccept(delay -> timer.schedule(delay, this::step));
        } else if (configured.getAsBoolean()) {
            timer.schedule(RECHECK_MS, this::step);
        } else {
            reader.read(ConfigurationKeys.HEAD)
                    .thenCompose(this::receive)
                    .thenAccept(settled -> timer.schedule(RECHECK_MS, this::step));
        }
    }

    /** Awaits one change and gives the pause before the next watch. */
    private CompletionStage<Long> watchOnce() {
        long begin = clock.now();
        CompletionStage<StoreResult> answer =
                timer.limit(
                        store.execute(
                                new StoreCommand.AwaitChange(
                                        ConfigurationKeys.HEAD, seenVersion.get(), WATCH_WAIT_MS)),
                        WATCH_WAIT_MS + SILENCE_MS,
                        this::silent);
        return answer.thenCompose(this::receive)
                .thenApply(settled -> pause(settled, clock.now() - begin));
    }

    private StoreResult silent() {
        events.record(LogEvent.WATCH_SILENT, HashMap.of("limitMs", WATCH_WAIT_MS + SILENCE_MS));
        return new StoreResult.Unavailable("the watch is silent");
    }

    /**
     * Answers that bring nothing new are paced too, so that a store that answers a watch at once
     * instead of holding it does not cause a loop of calls.
     */
    private long pause(boolean settled, long tookMillis) {
        return settled || tookMillis >= WATCH_WAIT_MS / 2 && available.get()
                ? 0
                : MIN_RETRY_MS + (long) (random.getAsDouble() * (MAX_RETRY_MS - MIN_RETRY_MS));
    }

    /** Whether the answer brought a head that is dealt with. */
    private CompletionStage<Boolean> receive(StoreResult result) {
        reportAvailability(result);
        if (!(result instanceof StoreResult.Found found) || found.version() <= seenVersion.get()) {
            return CompletableFuture.completedStage(false);
        }
        Either<String, Head> head = HeadReader.read(found.value().text());
        if (head.isLeft()) {
            events.record(
                    LogEvent.CONFIGURATION_UNREADABLE,
                    HashMap.of("version", found.version(), "reason", head.getLeft()));
            return CompletableFuture.completedStage(false);
        }
        return receiver.apply(head.get())
                .thenApply(
                        settled -> {
                            if (settled) {
                                seenVersion.accumulateAndGet(found.version(), Math::max);
                            }
                            return settled;
                        });
    }

    private void reportAvailability(StoreResult result) {
        if (result instanceof StoreResult.Unavailable unavailable) {
            if (available.compareAndSet(true, false)) {
                events.record(
                        LogEvent.STORE_UNAVAILABLE, HashMap.of("reason", unavailable.reason()));
            }
        } else if (available.compareAndSet(false, true)) {
            events.record(LogEvent.STORE_RECOVERED, HashMap.empty());
        }
    }
}
