package org.sequoiaspindle.core.common;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/**
 * Brings exceptions of asynchronous steps to the thread's uncaught-exception handler. Expected
 * failures are values, so an exception is a broken invariant and the daemon's handler stops it.
 */
public final class Invariants {

    private Invariants() {}

    /** Watches a step whose result nobody else looks at. */
    public static void watch(CompletionStage<?> step) {
        step.whenComplete(
                (value, failure) -> {
                    if (failure != null) {
                        report(failure);
                    }
                });
    }

    private static void report(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
    }
}
