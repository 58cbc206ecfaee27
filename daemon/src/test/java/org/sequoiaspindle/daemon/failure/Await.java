package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits of the tests, on conditions and with a limit that only a hanging system reaches. */
final class Await {

    private static final Duration LIMIT = Duration.ofSeconds(40);
    private static final Duration INTERVAL = Duration.ofMillis(10);

    private Await() {}

    /** Waits until a condition holds; fails with its description after the limit. */
    static void until(String condition, BooleanSupplier holds) {
        long start = System.nanoTime();
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT.toNanos()) {
                fail("never: " + condition);
            }
            LockSupport.parkNanos(INTERVAL.toNanos());
        }
    }

    /** Waits until a time has passed, for what is defined by a deadline. */
    static void elapsed(long startNanos, long millis) {
        until(
                millis + " ms have passed",
                () -> System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Waits for a value. */
    static <T> T value(CompletableFuture<T> future) {
        return future.orTimeout(LIMIT.toSeconds(), TimeUnit.SECONDS).join();
    }
}
