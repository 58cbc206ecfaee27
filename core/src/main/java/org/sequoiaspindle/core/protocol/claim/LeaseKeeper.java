package org.sequoiaspindle.core.protocol.claim;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Creates one lease an hour and lends it to all claims of that hour. Leases are never renewed, so
 * that the platform removes old claims without a write of ours. Callers that need a lease while one
 * is being created share the creation.
 */
final class LeaseKeeper {
    /** Time to live of a lease, in milliseconds. */
    static final long TTL_MS = 26 * 3_600_000L;

    /** Age from which a lease takes no more claims, so that each claim outlives its key. */
    static final long MAX_AGE_MS = 3_600_000L;

    private final Store store;
    private final MillisClock clock;
    private final AtomicReference<Option<Lending>> current = new AtomicReference<>(Option.none());

    /**
     * @param clock monotonic clock
     */
    LeaseKeeper(Store store, MillisClock clock) {
        this.store = store;
        this.clock = clock;
    }

    private record Lending(long requestedAt, CompletableFuture<Either<String, Long>> lease) {
        boolean isUsable(long now) {
            return now - requestedAt < MAX_AGE_MS && (!lease.isDone() || lease.join().isRight());
        }
    }

    /** Lease for a claim made now, or the reason why there is none. */
    CompletionStage<Either<String, Long>> lease() {
        long now = clock.now();
        Option<Lending> held = current.get();
        if (held.exists(lending -> lending.isUsable(now))) {
            return held.get().lease();
        }
        Lending next = new Lending(now, new CompletableFuture<>());
        if (!current.compareAndSet(held, Option.some(next))) {
            return lease();
        }
        store.execute(new StoreCommand.CreateLease(TTL_MS))
                .thenAccept(result -> next.lease().complete(created(result)));
        return next.lease();
    }

    /** Drops a lease that may be lost, so that the next claim creates another. */
    void drop(long lease) {
        current.updateAndGet(
                held ->
                        held.filter(
                                lending ->
                                        !lending.lease().isDone()
                                                || !lending.lease().join().contains(lease)));
    }

    private static Either<String, Long> created(StoreResult result) {
        return result instanceof StoreResult.LeaseCreated created
                ? Either.right(created.lease())
                : Either.left("no lease could be created: " + result);
    }
}
