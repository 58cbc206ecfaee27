package org.sequoiaspindle.standins.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Leases that lapse unless they are renewed in time. */
public final class Leases {

    private record Lease(long ttlMs, long endsAtMs) {}

    private final Map<Long, Lease> held = new ConcurrentHashMap<>();
    private final AtomicLong lastId = new AtomicLong();
    private final LongSupplier nowMs;
    private final Timer timer;
    private final LongConsumer onLapse;

    /**
     * Creates an empty set of leases.
     *
     * @param onLapse called with the id of each lease that has lapsed
     */
    public Leases(LongSupplier nowMs, Timer timer, LongConsumer onLapse) {
        this.nowMs = nowMs;
        this.timer = timer;
        this.onLapse = onLapse;
    }

    /** Creates a lease and returns its id. */
    public long create(long ttlMs) {
        long id = lastId.incrementAndGet();
        held.put(id, new Lease(ttlMs, nowMs.getAsLong() + ttlMs));
        timer.after(ttlMs, () -> check(id));
        return id;
    }

    /** Renews a lease for its full time; returns false if it does not exist. */
    public boolean renew(long id) {
        return held.computeIfPresent(
                        id,
                        (ignored, lease) -> new Lease(lease.ttlMs, nowMs.getAsLong() + lease.ttlMs))
                != null;
    }

    public boolean exists(long id) {
        return held.containsKey(id);
    }

    private void check(long id) {
        Lease left =
                held.computeIfPresent(
                        id, (ignored, lease) -> lease.endsAtMs <= nowMs.getAsLong() ? null : lease);
        if (left == null) {
            onLapse.accept(id);
            return;
        }
        timer.after(left.endsAtMs - nowMs.getAsLong(), () -> check(id));
    }
}
