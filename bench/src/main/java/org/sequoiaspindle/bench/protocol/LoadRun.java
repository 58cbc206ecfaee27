package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Sends requests at their intended starts, whether or not earlier ones have been answered, so that
 * a stalled system is not offered less load.
 */
public final class LoadRun {

    private LoadRun() {}

    /**
     * Sends all requests and waits for all records.
     *
     * @param atNanos intended start since the start of the run
     * @param runNanos time since the start of the run
     */
    public static <P, R> Vector<R> run(
            Vector<P> planned,
            ToLongFunction<P> atNanos,
            LongSupplier runNanos,
            ScheduledExecutorService scheduler,
            Function<P, CompletableFuture<R>> send) {
        Vector<CompletableFuture<R>> records =
                planned.map(
                        request -> {
                            CompletableFuture<R> record = new CompletableFuture<>();
                            scheduler.schedule(
                                    () -> forward(send.apply(request), record),
                                    atNanos.applyAsLong(request) - runNanos.getAsLong(),
                                    TimeUnit.NANOSECONDS);
                            return record;
                        });
        return records.map(CompletableFuture::join);
    }

    private static <R> void forward(CompletableFuture<R> from, CompletableFuture<R> to) {
        from.whenComplete(
                (record, failure) -> {
                    if (failure == null) {
                        to.complete(record);
                    } else {
                        to.completeExceptionally(failure);
                    }
                });
    }
}
