package org.sequoiaspindle.core.common;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Timer on a thread pool. An exception thrown by a task is passed to the uncaught-exception
 * handler.
 */
public final class ExecutorTimer implements Timer, AutoCloseable {

    private final ScheduledThreadPoolExecutor executor;

    public ExecutorTimer(int threads, String threadName) {
        executor =
                new ScheduledThreadPoolExecutor(
                        threads,
                        runnable -> {
                            Thread thread = new Thread(runnable, threadName);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public Runnable schedule(long delayMillis, Runnable task) {
        ScheduledFuture<?> future =
                executor.schedule(
                        () -> runReportingFailure(task),
                        Math.max(0, delayMillis),
                        TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void runReportingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }
}
