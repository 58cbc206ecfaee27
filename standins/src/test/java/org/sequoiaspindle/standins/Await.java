package org.sequoiaspindle.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for conditions that other threads establish. */
public final class Await {

    /** Timeout in seconds; long, so that tests do not fail on a busy machine. */
    public static final int LIMIT_S = 30;

    private static final long CHECK_MS = 2;
    private static final ScheduledExecutorService CHECKS =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "await");
                        thread.setDaemon(true);
                        return thread;
                    });

    private Await() {}

    /** Returns when the condition holds; fails the test after {@link #LIMIT_S} seconds. */
    public static void until(BooleanSupplier condition) {
        CompletableFuture<Void> holds = new CompletableFuture<>();
        Future<?> checks =
                CHECKS.scheduleAtFixedRate(
                        () -> {
                            if (condition.getAsBoolean()) {
                                holds.complete(null);
                            }
                        },
                        0,
                        CHECK_MS,
                        TimeUnit.MILLISECONDS);
        try {
            holds.orTimeout(LIMIT_S, TimeUnit.SECONDS).join();
        } finally {
            checks.cancel(false);
        }
    }
}
