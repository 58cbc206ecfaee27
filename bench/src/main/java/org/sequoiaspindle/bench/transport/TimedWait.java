package org.sequoiaspindle.bench.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Blocks the calling thread for a duration or until a condition holds. */
final class TimedWait {

    private static final long TIMEOUT_S = 60;

    private TimedWait() {}

    /** Waits for a duration in milliseconds. */
    static void delayMillis(ScheduledExecutorService scheduler, long millis) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(() -> done.complete(null), millis, TimeUnit.MILLISECONDS);
        done.join();
    }

    /** Checks a condition at an interval until the condition holds. Fails after one minute. */
    static void awaitCondition(
            ScheduledExecutorService scheduler, long intervalMs, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "condition did not hold within " + TIMEOUT_S + " s");
            }
            delayMillis(scheduler, intervalMs);
        }
    }
}
