package org.sequoiaspindle.daemon.transport.wiring;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.ExecutorTimer;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.daemon.state.EntrySettings;

/**
 * Components used by all other components of an instance.
 *
 * @param settings settings of the instance
 * @param events receives log events
 * @param clock monotonic clock
 * @param timer runs tasks after a delay
 * @param snapshots holds the active configuration
 * @param closer closes the components registered with it
 */
record SharedComponents(
        EntrySettings settings,
        EventLog events,
        MillisClock clock,
        ExecutorTimer timer,
        SnapshotHolder snapshots,
        Closer closer) {

    private static final int TIMER_THREADS = 2;

    static SharedComponents create(EntrySettings settings, EventLog events) {
        Closer closer = new Closer();
        return new SharedComponents(
                settings,
                events,
                MillisClock.monotonic(),
                closer.register(new ExecutorTimer(TIMER_THREADS, "timer")),
                new SnapshotHolder(),
                closer);
    }

    /**
     * Returns a function that creates a future that completes after the given number of
     * milliseconds.
     */
    LongFunction<CompletionStage<Void>> delayFunction() {
        return millis -> {
            CompletableFuture<Void> delay = new CompletableFuture<>();
            timer.schedule(millis, () -> delay.complete(null));
            return delay;
        };
    }

    /**
     * Runs a task repeatedly until the timer is closed; each run is scheduled when the previous run
     * starts.
     */
    void runAtInterval(long intervalMillis, Runnable task) {
        timer.schedule(
                intervalMillis,
                () -> {
                    runAtInterval(intervalMillis, task);
                    task.run();
                });
    }
}
