package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.LeaseHold;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/**
 * Keeps this instance registered in the store under a lease, so that the entry is removed when the
 * instance stops.
 */
public final class InstanceRegistration implements AutoCloseable {

    /** Number of renewals within the time to live of the lease, of which two may fail. */
    private static final int RENEWALS_PER_TTL = 3;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_MS = 500;

    private final Store store;
    private final InstanceEntry instance;
    private final long ttlMillis;
    private final Timer timer;
    private final Supplier<ClockReading> clocks;
    private final AtomicReference<Optional<LeaseHold>> hold =
            new AtomicReference<>(Optional.empty());
    private final AtomicBoolean stopped = new AtomicBoolean();

    /** Version of the entry as last written by this instance. */
    private final AtomicLong version = new AtomicLong(StoreCommand.ABSENT);

    /**
     * Prepares a registration.
     *
     * @param ttlMillis time after which the entry of a stopped instance is removed
     */
    public InstanceRegistration(
            Store store,
            InstanceEntry instance,
            long ttlMillis,
            Timer timer,
            Supplier<ClockReading> clocks) {
        this.store = store;
        this.instance = instance;
        this.ttlMillis = ttlMillis;
        this.timer = timer;
        this.clocks = clocks;
    }

    /** Returns the lease with its last confirmed renewal, empty if there is none. Thread-safe. */
    public Optional<LeaseHold> lease() {
        return hold.get();
    }

    /** Registers the instance and keeps renewing the lease; returns immediately. */
    public void register() {
        if (stopped.get()) {
            return;
        }
        hold.set(Optional.empty());
        ClockReading sentAt = clocks.get();
        Invariants.reportFailure(
                store.execute(new StoreCommand.CreateLease(ttlMillis))
                        .thenAccept(result -> leaseCreated(result, sentAt)));
    }

    /** Removes the entry, so that other instances stop using this instance before it shuts down. */
    public void deregister() {
        stopped.set(true);
        long lastVersion = version.get();
        if (lastVersion != StoreCommand.ABSENT) {
            Invariants.reportFailure(
                    store.execute(
                            new StoreCommand.Delete(
                                    InstanceEntryCodec.key(instance), lastVersion)));
        }
    }

    /** Stops renewing the lease. */
    @Override
    public void close() {
        stopped.set(true);
    }

    private void leaseCreated(StoreResult result, ClockReading sentAt) {
        if (result instanceof StoreResult.LeaseCreated leaseCreated) {
            hold.set(Optional.of(new LeaseHold(leaseCreated.lease(), sentAt, ttlMillis)));
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
        Invariants.reportFailure(
                store.execute(command).thenAccept(result -> entryWritten(lease, result)));
    }

    /** Handles the result of a write. An entry left by a previous process is overwritten. */
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
        ClockReading sentAt = clocks.get();
        Invariants.reportFailure(
                store.execute(new StoreCommand.RenewLease(lease))
                        .thenAccept(
                                result -> {
                                    if (result instanceof StoreResult.LeaseLost) {
                                        register();
                                    } else {
                                        if (result instanceof StoreResult.LeaseRenewed) {
                                            hold.set(
                                                    Optional.of(
                                                            new LeaseHold(
                                                                    lease, sentAt, ttlMillis)));
                                        }
                                        scheduleRenewal(lease);
                                    }
                                }));
    }
}
