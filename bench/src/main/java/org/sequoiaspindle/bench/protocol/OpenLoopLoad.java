package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Open-loop load generator: sends requests at their planned times, whether or not earlier requests
 * have been answered, so that a stalled system still receives the full load.
 */
public final class OpenLoopLoad {

    private OpenLoopLoad() {}

    /**
     * Sends all requests and waits for all results.
     *
     * @param plannedStartNanos planned time of a request since the start of the run, in nanoseconds
     * @param runNanos time since the start of the run, in nanoseconds
     */
    public static <P, R> Vector<R> run(
            Vector<P> planned,
            ToLongFunction<P> plannedStartNanos,
            LongSupplier runNanos,
            ScheduledExecutorService scheduler,
            Function<P, CompletableFuture<R>> send) {
        Vector<CompletableFuture<R>> results =
                planned.map(
                        request -> {
                            CompletableFuture<R> record = new CompletableFuture<>();
                            scheduler.schedule(
                                    () -> propagate(send.apply(request), record),
                                    plannedStartNanos.applyAsLong(request) - runNanos.getAsLong(),
                                    TimeUnit.NANOSECONDS);
                            return record;
                        });
        return results.map(CompletableFuture::join);
    }

    private static <R> void propagate(CompletableFuture<R> from, CompletableFuture<R> to) {
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
