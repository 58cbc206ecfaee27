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
    private final PeerInstance instance;
    private final long ttlMillis;
    private final Timer timer;
    private final AtomicBoolean stopped = new AtomicBoolean();

    /** Version of the entry that this instance wrote last. */
    private final AtomicLong version = new AtomicLong(StoreCommand.ABSENT);

    /**
     * Prepares a registration.
     *
     * @param ttlMillis time after which the entry of an instance that has stopped is removed
     */
    public InstanceRegistration(Store store, PeerInstance instance, long ttlMillis, Timer timer) {
        this.store = store;
        this.instance = instance;
        this.ttlMillis = ttlMillis;
        this.timer = timer;
    }

    /** Registers and keeps the registration; returns at once. */
    public void register() {
        if (stopped.get()) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.CreateLease(ttlMillis))
                        .thenAccept(this::leaseCreated));
    }

    /** Removes the entry, so that other instances stop relying on this one before it ends. */
    public void deregister() {
        stopped.set(true);
        long knownVersion = version.get();
        if (knownVersion != StoreCommand.ABSENT) {
            Invariants.watch(
                    store.execute(
                            new StoreCommand.Delete(
                                    InstanceEntryCodec.key(instance), knownVersion)));
        }
    }

    /** Stops renewing. */
    @Override
    public void close() {
        stopped.set(true);
    }

    private void leaseCreated(StoreResult result) {
        if (result instanceof StoreResult.LeaseCreated leaseCreated) {
            writeEntry(leaseCreated.lease(), StoreCommand.ABSENT);
        } else {
            timer.schedule(RETRY_MS, this::register);
        }
    }

    private void writeEntry(long lease, long expectedVersion) {
        StoreCommand command =
                new StoreCommand.CompareAndSwap(
                        InstanceEntryCodec.key(instance),
                        expectedVersion,
                        InstanceEntryCodec.encode(instance),
                        lease);
        Invariants.watch(store.execute(command).thenAccept(result -> entryWritten(lease, result)));
    }

    /** An entry of a former life of this instance is replaced. */
    private void entryWritten(long lease, StoreResult result) {
        if (result instanceof StoreResult.Swapped swapped) {
            version.set(swapped.version());
            scheduleRenewal(lease);
        } else if (result instanceof StoreResult.Conflict conflict) {
            writeEntry(lease, conflict.actualVersion());
        } else {
            timer.schedule(RETRY_MS, this::register);
        }
    }

    private void scheduleRenewal(long lease) {
        timer.schedule(ttlMillis / RENEWALS_PER_TTL, () -> renew(lease));
    }

    private void renew(long lease) {
        if (stopped.get()) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.RenewLease(lease))
                        .thenAccept(
                                result -> {
                                    if (result instanceof StoreResult.LeaseLost) {
                                        register();
                                    } else {
                                        scheduleRenewal(lease);
                                    }
                                }));
    }
}
