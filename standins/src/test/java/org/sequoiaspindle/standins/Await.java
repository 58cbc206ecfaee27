package org.sequoiaspindle.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in a test until a condition holds that another thread brings about. */
public final class Await {

    /** Timeout in seconds; long, so that tests do not fail on a busy machine. */
    public static final int TIMEOUT_S = 30;

    private static final long CHECK_INTERVAL_MS = 2;
    private static final ScheduledExecutorService CHECK_EXECUTOR =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "await");
                        thread.setDaemon(true);
                        return thread;
                    });

    private Await() {}

    /** Returns when the condition holds; fails the test after {@link #TIMEOUT_S} seconds. */
    public static void until(BooleanSupplier condition) {
        CompletableFuture<Void> conditionMet = new CompletableFuture<>();
        Future<?> periodicCheck =
                CHECK_EXECUTOR.scheduleAtFixedRate(
                        () -> {
                            if (condition.getAsBoolean()) {
                                conditionMet.complete(null);
                            }
                        },
                        0,
                        CHECK_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        try {
            conditionMet.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
        } finally {
            periodicCheck.cancel(false);
        }
    }
}
