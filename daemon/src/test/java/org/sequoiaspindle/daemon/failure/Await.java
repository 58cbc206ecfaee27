package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions, with a timeout that only a hanging system reaches. */
final class Await {

    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    private Await() {}

    /**
     * Waits until a condition holds; fails with the description of the condition after the timeout.
     */
    static void until(String description, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TIMEOUT.toNanos()) {
                fail("condition not met in time: " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    /**
     * Waits until the given time has passed since the start, for tests of behaviour after a
     * deadline.
     */
    static void untilElapsed(long startNanos, long millis) {
        until(
                millis + " ms have passed",
                () -> System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Waits for the value of a future. */
    static <T> T value(CompletableFuture<T> future) {
        return future.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }
}
