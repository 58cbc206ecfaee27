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
 * Creates one lease per hour and shares it among all claims of that hour. Leases are never renewed,
 * so that the store removes old claims without a delete from this process. Concurrent callers wait
 * for the same lease creation.
 */
final class LeaseCache {
    /** Time to live of a lease, in milliseconds. */
    static final long TTL_MS = 26 * 3_600_000L;

    /** Age from which a lease is not used for new claims, so that each claim outlives its key. */
    static final long MAX_AGE_MS = 3_600_000L;

    private final Store store;
    private final MillisClock clock;
    private final AtomicReference<Option<CachedLease>> cachedLease =
            new AtomicReference<>(Option.none());

    /**
     * @param clock monotonic clock
     */
    LeaseCache(Store store, MillisClock clock) {
        this.store = store;
        this.clock = clock;
    }

    private record CachedLease(long requestedAtMs, CompletableFuture<Either<String, Long>> lease) {
        boolean isUsable(long now) {
            return now - requestedAtMs < MAX_AGE_MS && (!lease.isDone() || lease.join().isRight());
        }
    }

    /** Returns the lease for a new claim, or the reason why none could be created. */
    CompletionStage<Either<String, Long>> lease() {
        long now = clock.now();
        Option<CachedLease> previousLease = cachedLease.get();
        if (previousLease.exists(cached -> cached.isUsable(now))) {
            return previousLease.get().lease();
        }
        CachedLease newLease = new CachedLease(now, new CompletableFuture<>());
        if (!cachedLease.compareAndSet(previousLease, Option.some(newLease))) {
            return lease();
        }
        store.execute(new StoreCommand.CreateLease(TTL_MS))
                .thenAccept(result -> newLease.lease().complete(leaseOf(result)));
        return newLease.lease();
    }

    /** Discards a lease that may no longer exist, so that the next claim creates another. */
    void discard(long lease) {
        cachedLease.updateAndGet(
                currentLease ->
                        currentLease.filter(
                                cached ->
                                        !cached.lease().isDone()
                                                || !cached.lease().join().contains(lease)));
    }

    private static Either<String, Long> leaseOf(StoreResult result) {
        return result instanceof StoreResult.LeaseCreated created
                ? Either.right(created.lease())
                : Either.left("no lease could be created: " + result);
    }
}
