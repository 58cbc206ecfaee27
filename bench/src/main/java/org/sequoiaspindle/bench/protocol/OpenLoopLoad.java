package org.sequoiaspindle.bench.protocol;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * Open-loop load generator: sends requests at the planned times, whether or not earlier requests
 * have been answered, so that a stalled system still receives the full load.
 */
public final class OpenLoopLoad {

    private OpenLoopLoad() {}

    /**
     * Sends all requests and waits for all results.
     *
     * @param plannedStartNanos returns the planned start time of a request, in nanoseconds since
     *     the start of the run
     * @param runNanos supplies the time since the start of the run, in nanoseconds
     * @param send sends a request and returns a future of the result
     */
    public static <P, R> Vector<R> run(
            Vector<P> plannedRequests,
            ToLongFunction<P> plannedStartNanos,
            LongSupplier runNanos,
            ScheduledExecutorService scheduler,
            Function<P, CompletableFuture<R>> send) {
        Vector<CompletableFuture<R>> results =
                plannedRequests.map(
                        request -> {
                            CompletableFuture<R> record = new CompletableFuture<>();
                            scheduler.schedule(
                                    () -> copyResult(send.apply(request), record),
                                    plannedStartNanos.applyAsLong(request) - runNanos.getAsLong(),
                                    TimeUnit.NANOSECONDS);
                            return record;
                        });
        return results.map(CompletableFuture::join);
    }

    private static <R> void copyResult(CompletableFuture<R> from, CompletableFuture<R> to) {
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
