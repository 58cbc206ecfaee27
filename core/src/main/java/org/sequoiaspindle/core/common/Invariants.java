package org.sequoiaspindle.core.common;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

/**
 * Passes exceptions of asynchronous steps to the thread's uncaught-exception handler. Expected
 * failures are represented as values, so an exception indicates a bug, and the daemon's handler
 * stops the process.
 */
public final class Invariants {

    private Invariants() {}

    /**
     * Passes the exception of a {@code CompletionStage} to the uncaught-exception handler if the
     * {@code CompletionStage} fails. Must be called for each {@code CompletionStage} whose result
     * is not used otherwise.
     */
    public static void reportFailure(CompletionStage<?> stage) {
        stage.whenComplete(
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
