package org.sequoiaspindle.core.protocol.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Runs tasks later, so that no thread sleeps while it waits. Thread-safe; does not block. */
@FunctionalInterface
public interface Scheduler {
    /** Runs the task once after the delay in milliseconds. */
    void schedule(long delayMillis, Runnable task);

    /** Scheduler that runs its tasks on an executor service. */
    static Scheduler of(ScheduledExecutorService executor) {
        return (delay, task) -> executor.schedule(task, delay, TimeUnit.MILLISECONDS);
    }

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
            schedule(limitMillis, () -> completeLate(first, substitute));
        }
        return first;
    }

    private static <T> void completeLate(CompletableFuture<T> first, Supplier<T> substitute) {
        if (!first.isDone()) {
            first.complete(substitute.get());
        }
    }
}
