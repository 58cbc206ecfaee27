package org.sequoiaspindle.core.protocol.relay;

import io.vavr.collection.Vector;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.ChangeLog;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Serves the watches of many callers from a single watch of the platform's store. Confined to one
 * thread.
 */
final class SharedWatch {

    /**
     * Minimum interval between two watches of the store, in milliseconds. Each change ends a watch,
     * so changes in quick succession are collected. A quarter of a second is small against the
     * seconds in which a change must be in force.
     */
    static final long WATCH_INTERVAL_MS = 250;

    /** Long-poll timeout of a watch of the store, in milliseconds. */
    static final long WATCH_TIMEOUT_MS = 10_000;

    /**
     * Time after which a watch is replaced if a caller already knows a later revision, in
     * milliseconds; the watch should have returned within a few milliseconds.
     */
    static final long STALL_MS = 300;

    private final Store store;
    private final MillisClock clock;
    private final Timer timer;
    private List<Waiter> waiters = new ArrayList<>();
    private Optional<ChangeLog> log = Optional.empty();

    /** Sequence number of the current watch of the store; results of earlier ones are ignored. */
    private long watchNumber;

    private boolean watching;
    private boolean watchScheduled;

    /** Whether the last watch failed; the store may cut a watch although it is reachable. */
    private boolean lastWatchFailed;

    private long watchSentAt = Long.MIN_VALUE / 2;

    private record Waiter(long after, CompletableFuture<StoreResult> result) {}

    SharedWatch(Store store, MillisClock clock, Timer timer) {
        this.store = store;
        this.clock = clock;
        this.timer = timer;
    }

    /**
     * Waits for changes after a revision.
     *
     * @param maxWaitMillis time after which the result contains no changes; at most {@link
     *     #WATCH_TIMEOUT_MS} are used
     */
    CompletionStage<StoreResult> await(long after, long maxWaitMillis) {
        long waitMillis = Math.min(maxWaitMillis, WATCH_TIMEOUT_MS);
        ChangeLog current = currentLog(after);
        log = Optional.of(current);
        if (!current.covers(after)) {
            return store.execute(new StoreCommand.AwaitChanges("", after, waitMillis));
        }
        if (current.to() > after) {
            return CompletableFuture.completedFuture(current.changesAfter(after));
        }
        Waiter waiter = new Waiter(after, new CompletableFuture<>());
        waiters.add(waiter);
        Runnable cancelTimeout = timer.schedule(waitMillis, () -> endWithoutChanges(waiter));
        waiter.result().thenRun(cancelTimeout);
        if (after > current.to() && clock.now() - watchSentAt > STALL_MS) {
            watching = false;
        }
        watchSoon();
        return waiter.result();
    }

    /**
     * Returns the log, or a new one if nobody has watched since the log ended: the store may have
     * discarded the changes in between.
     */
    private ChangeLog currentLog(long after) {
        boolean idle = waiters.isEmpty() && !watching;
        return log.filter(current -> !idle || current.to() >= after)
                .orElseGet(() -> ChangeLog.startingAt(after));
    }

    private void endWithoutChanges(Waiter waiter) {
        waiters.remove(waiter);
        waiter.result().complete(new StoreResult.Changed(Vector.empty(), waiter.after()));
    }

    private void watchSoon() {
        if (watching || watchScheduled || waiters.isEmpty()) {
            return;
        }
        watchScheduled = true;
        timer.schedule(watchSentAt + WATCH_INTERVAL_MS - clock.now(), this::watch);
    }

    private void watch() {
        watchScheduled = false;
        if (log.isEmpty() || watching) {
            return;
        }
        watching = true;
        watchSentAt = clock.now();
        long number = ++watchNumber;
        Invariants.reportFailure(
                store.execute(new StoreCommand.AwaitChanges("", log.get().to(), WATCH_TIMEOUT_MS))
                        .thenAccept(result -> watchCompleted(result, number)));
    }

    private void watchCompleted(StoreResult result, long number) {
        if (number != watchNumber) {
            return;
        }
        watching = false;
        boolean isFirstFailure = result instanceof StoreResult.Unavailable && !lastWatchFailed;
        lastWatchFailed = isFirstFailure;
        if (isFirstFailure) {
            watchSoon();
            return;
        }
        if (!(result instanceof StoreResult.Changed changed) || log.isEmpty()) {
            log = result instanceof StoreResult.HistoryLost ? Optional.empty() : log;
            takeAllWaiters().forEach(waiter -> waiter.result().complete(result));
            return;
        }
        ChangeLog next = log.get().append(changed);
        log = Optional.of(next);
        deliver(next);
        watchSoon();
    }

    private void deliver(ChangeLog next) {
        for (Waiter waiter : takeAllWaiters()) {
            if (next.to() <= waiter.after()) {
                waiters.add(waiter);
            } else if (next.covers(waiter.after())) {
                waiter.result().complete(next.changesAfter(waiter.after()));
            } else {
                waiter.result().complete(new StoreResult.HistoryLost());
            }
        }
    }

    private List<Waiter> takeAllWaiters() {
        List<Waiter> taken = waiters;
        waiters = new ArrayList<>();
        return taken;
    }
}
