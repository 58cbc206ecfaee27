package org.sequoiaspindle.core.protocol.peer;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks later. Thread-safe. */
@FunctionalInterface
public interface PeerScheduler {

    /** Schedules the task; running the returned function cancels it. */
    Runnable schedule(long delayMillis, Runnable task);

    /** Scheduler on an executor, which the caller shuts down. */
    static PeerScheduler of(ScheduledExecutorService executor) {
        return (delayMillis, task) -> {
            Future<?> scheduled = executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        };
    }
}
