package org.sequoiaspindle.bench.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits of the main thread for a time or for a condition. */
final class Pause {

    private static final long LIMIT_S = 60;

    private Pause() {}

    /** Waits for some milliseconds. */
    static void millis(ScheduledExecutorService scheduler, long millis) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        scheduler.schedule(() -> done.complete(null), millis, TimeUnit.MILLISECONDS);
        done.join();
    }

    /** Waits until a condition holds, which is checked at an interval; fails after a minute. */
    static void until(
            ScheduledExecutorService scheduler, long intervalMs, BooleanSupplier condition) {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new IllegalStateException("condition did not hold within " + LIMIT_S + " s");
            }
            millis(scheduler, intervalMs);
        }
    }
}
