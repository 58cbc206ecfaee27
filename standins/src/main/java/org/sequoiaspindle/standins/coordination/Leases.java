package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Leases, which expire unless a client renews them in time. Thread-safe. */
public final class Leases {

    private record Lease(long ttlMs, long expiresAtMs) {}

    private final Map<Long, Lease> leases = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private final LongSupplier nowMs;
    private final ActionScheduler scheduler;
    private final LongConsumer onExpiry;

    /**
     * Creates an empty set of leases.
     *
     * @param onExpiry called with the id of each lease that has expired
     */
    public Leases(LongSupplier nowMs, ActionScheduler scheduler, LongConsumer onExpiry) {
        this.nowMs = nowMs;
        this.scheduler = scheduler;
        this.onExpiry = onExpiry;
    }

    /** Creates a lease and returns the id of the lease. */
    public long create(long ttlMs) {
        long id = lastId.incrementAndGet();
        leases.put(id, new Lease(ttlMs, nowMs.getAsLong() + ttlMs));
        scheduler.schedule(ttlMs, () -> expireOrReschedule(id));
        return id;
    }

    /** Restarts the time to live of a lease. Returns false if the lease does not exist. */
    public boolean renew(long id) {
        return leases.computeIfPresent(
                        id,
                        (ignored, lease) -> new Lease(lease.ttlMs, nowMs.getAsLong() + lease.ttlMs))
                != null;
    }

    public boolean exists(long id) {
        return leases.containsKey(id);
    }

    private void expireOrReschedule(long id) {
        Lease unexpiredLease =
                leases.computeIfPresent(
                        id,
                        (ignored, lease) -> lease.expiresAtMs <= nowMs.getAsLong() ? null : lease);
        if (unexpiredLease == null) {
            onExpiry.accept(id);
            return;
        }
        scheduler.schedule(
                unexpiredLease.expiresAtMs - nowMs.getAsLong(), () -> expireOrReschedule(id));
    }
}
