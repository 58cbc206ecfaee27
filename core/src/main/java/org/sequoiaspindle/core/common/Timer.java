package org.sequoiaspindle.core.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Runs tasks after a delay, so that no thread sleeps while it waits. Thread-safe. */
@FunctionalInterface
public interface Timer {

    /**
     * Schedules a task.
     *
     * @param delayMillis delay in milliseconds; 0 or less runs it as soon as possible
     * @return cancels the task if it has not started
     */
    Runnable schedule(long delayMillis, Runnable task);

    /** Starts an action after the delay and gives its result. */
    default <T> CompletionStage<T> later(long delayMillis, Supplier<CompletionStage<T>> action) {
        CompletableFuture<Void> due = new CompletableFuture<>();
        schedule(delayMillis, () -> due.complete(null));
        return due.thenCompose(ignored -> action.get());
    }

    /** The result of the stage, or the substitute if the stage takes longer than the limit. */
    default <T> CompletionStage<T> limit(
            CompletionStage<T> stage, long limitMillis, Supplier<T> substitute) {
        CompletableFuture<T> first = new CompletableFuture<>();
        stage.whenComplete(
                (value, failure) -> {
                    if (failure == null) {
                        first.complete(value);
                    } else {
                        first.completeExceptionally(failure);
                    }
                });
        if (!first.isDone()) {
            Runnable cancel =
                    schedule(
                            limitMillis,
                            () -> {
                                if (!first.isDone()) {
                                    first.complete(substitute.get());
                                }
                            });
            first.whenComplete((value, failure) -> cancel.run());
        }
        return first;
    }
}
