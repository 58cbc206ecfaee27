package org.sequoiaspindle.core.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Runs tasks after a delay, so that no thread has to wait. Implementations are thread-safe. */
@FunctionalInterface
public interface Timer {

    /**
     * Schedules a task.
     *
     * @param delayMillis delay in milliseconds; with 0 or less the task runs as soon as possible
     * @return an action that cancels the task if it has not started
     */
    Runnable schedule(long delayMillis, Runnable task);

    /**
     * Starts an asynchronous action after the delay and returns a {@code CompletionStage} with the
     * result of the action.
     */
    default <T> CompletionStage<T> callAfter(
            long delayMillis, Supplier<CompletionStage<T>> action) {
        CompletableFuture<Void> delayElapsed = new CompletableFuture<>();
        schedule(delayMillis, () -> delayElapsed.complete(null));
        return delayElapsed.thenCompose(ignored -> action.get());
    }

    /**
     * Returns a {@code CompletionStage} with the result of the given {@code CompletionStage}, or
     * with the substitute if the given {@code CompletionStage} takes longer than {@code
     * limitMillis}.
     */
    default <T> CompletionStage<T> withTimeout(
            CompletionStage<T> stage, long limitMillis, Supplier<T> substitute) {
        CompletableFuture<T> result = new CompletableFuture<>();
        stage.whenComplete(
                (value, failure) -> {
                    if (failure == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(failure);
                    }
                });
        if (!result.isDone()) {
            Runnable cancel =
                    schedule(
                            limitMillis,
                            () -> {
                                if (!result.isDone()) {
                                    result.complete(substitute.get());
                                }
                            });
            result.whenComplete((value, failure) -> cancel.run());
        }
        return result;
    }
}
