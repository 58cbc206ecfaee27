package org.sequoiaspindle.core.protocol.forwarding;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;

/**
 * Keeps this instance registered in the store under a lease, so that its entry goes when it does.
 */
public final class InstanceRegistration implements AutoCloseable {

    /** Renewals within the time to live of the lease; two may be lost. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MS = 500;

    private final Store store;
    private final PeerInstance self;
    private final long ttlMillis;
    private final Timer timer;
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Version of the entry that this instance wrote last. */
    private final AtomicLong version = new AtomicLong(StoreCommand.ABSENT);

    /**
     * Prepares a registration.
     *
     * @param ttlMillis time after which the entry of an instance that has stopped is removed
     */
    public InstanceRegistration(Store store, PeerInstance self, long ttlMillis, Timer timer) {
        this.store = store;
        this.self = self;
        this.ttlMillis = ttlMillis;
        this.timer = timer;
    }

    /** Registers and keeps the registration; returns at once. */
    public void start() {
        if (closed.get()) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.CreateLease(ttlMillis)).thenAccept(this::created));
    }

    /** Removes the entry, so that other instances stop relying on this one before it ends. */
    public void leave() {
        closed.set(true);
        long known = version.get();
        if (known != StoreCommand.ABSENT) {
            Invariants.watch(
                    store.execute(new StoreCommand.Delete(InstanceEntry.key(self), known)));
        }
    }

    /** Stops renewing. */
    @Override
    public void close() {
        closed.set(true);
    }

    private void created(StoreResult result) {
        if (result instanceof StoreResult.LeaseCreated created) {
            write(created.lease(), StoreCommand.ABSENT);
        } else {
            timer.schedule(RETRY_MS, this::start);
        }
    }

    private void write(long lease, long expectedVersion) {
        StoreCommand command =
                new StoreCommand.CompareAndSwap(
                        InstanceEntry.key(self), expectedVersion, InstanceEntry.write(self), lease);
        Invariants.watch(store.execute(command).thenAccept(result -> written(lease, result)));
    }

    /** An entry of a former life of this instance is replaced. */
    private void written(long lease, StoreResult result) {
        if (result instanceof StoreResult.Swapped swapped) {
            version.set(swapped.version());
            scheduleRenewal(lease);
        } else if (result instanceof StoreResult.Conflict conflict) {
            write(lease, conflict.actualVersion());
        } else {
            timer.schedule(RETRY_MS, this::start);
        }
    }

    private void scheduleRenewal(long lease) {
        timer.schedule(ttlMillis / RENEWALS_PER_TTL, () -> renew(lease));
    }

    private void renew(long lease) {
        if (closed.get()) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.RenewLease(lease))
                        .thenAccept(
                                result -> {
                                    if (result instanceof StoreResult.LeaseLost) {
                                        start();
                                    } else {
                                        scheduleRenewal(lease);
                                    }
                                }));
    }
}
