package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.KeyConfirmation;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence.Crash;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaRegistration;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.Evacuations;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * Local copy of the data in the platform's store: the current configuration, the replicas, the
 * instances, the evidence of crashes, and the time at which the store last confirmed the
 * configuration. Readers get immutable values and never block. Thread-safe.
 */
public final class Registry {

    /**
     * Shortest outage of the store after which replicas get time to register again, in
     * milliseconds. Registrations expire after three heartbeats, so more than three seconds.
     */
    static final long MIN_OUTAGE_MS = 1_000;

    private final RegistryLayout layout;
    private final MillisClock clock;
    private final MillisClock wallClock;
    private final EventLog events;
    private final ReplicaDirectoryState replicas;
    private final EvacuationState evacuations;
    private final AtomicReference<ForwardingTable> currentConfiguration =
            new AtomicReference<>(ForwardingTable.NONE);
    private final AtomicReference<Map<String, InstanceEntry>> instances =
            new AtomicReference<>(Map.of());
    private final AtomicReference<CrashEvidence> crashEvidence =
            new AtomicReference<>(CrashEvidence.EMPTY);
    private final AtomicReference<KeyConfirmation> keyConfirmation =
            new AtomicReference<>(KeyConfirmation.NONE);
    private final AtomicLong configurationRevision = new AtomicLong();
    private final AtomicBoolean storeReachable = new AtomicBoolean();
    private final AtomicBoolean storeReached = new AtomicBoolean();
    private final AtomicBoolean replicasListed = new AtomicBoolean();
    private volatile long storeReachableSince = Long.MIN_VALUE / 2;
    private volatile long storeLostAt;

    public Registry(
            RegistryLayout layout, MillisClock clock, MillisClock wallClock, EventLog events) {
        this(layout, clock, wallClock, events, Evacuations::with);
    }

    /**
     * Creates an empty registry.
     *
     * @param merge returns the evacuated data centres after an update
     */
    Registry(
            RegistryLayout layout,
            MillisClock clock,
            MillisClock wallClock,
            EventLog events,
            BiFunction<Evacuations, Evacuations.Update, Evacuations> merge) {
        this.layout = layout;
        this.clock = clock;
        this.wallClock = wallClock;
        this.events = events;
        replicas = new ReplicaDirectoryState(events);
        evacuations =
                new EvacuationState(layout.evacuationPrefix().orElse(""), merge, wallClock, events);
    }

    /** Returns the current configuration. The version never decreases. */
    public ForwardingTable configuration() {
        return currentConfiguration.get();
    }

    public ReplicaTable replicas() {
        return replicas.table();
    }

    /**
     * Returns whether a configuration, the list of replicas and, where data centres are evacuated,
     * the list of these have been read.
     */
    public boolean isInitialised() {
        return !configuration().isUnconfigured()
                && replicasListed.get()
                && (layout.evacuationPrefix().isEmpty() || evacuations().isListed());
    }

    /** Returns which data centres are evacuated. */
    public Evacuations evacuations() {
        return evacuations.current();
    }

    /**
     * Returns when this instance learned of the evacuation of each evacuated data centre, in
     * milliseconds of the wall clock.
     */
    public Map<String, Long> evacuatedSince() {
        return evacuations.evacuatedSince();
    }

    /**
     * Sets the listener that gets the name of each data centre that is restored, on the thread that
     * applies what was read from the store.
     */
    public void onDataCentreRestored(Consumer<String> listener) {
        evacuations.onRestored(listener);
    }

    /** Returns the registered instances of the system by name, including this instance. */
    public Map<String, InstanceEntry> instances() {
        return instances.get();
    }

    /** Returns which replicas crashed under which prompt parts. */
    public CrashEvidence crashEvidence() {
        return crashEvidence.get();
    }

    /**
     * Returns whether the store confirmed the API keys within the given time. Returns false if the
     * machine was suspended or the wall clock was changed since the confirmation, by more than
     * {@link KeyConfirmation#CLOCK_TOLERANCE_MS}.
     */
    public boolean keysConfirmed(long maxAgeMillis) {
        return keyConfirmation.get().isValid(clock.now(), wallClock.now(), maxAgeMillis);
    }

    /**
     * Returns a confirmation with the current times, to be passed to {@link
     * #applyConfigurationRead} when the read that is sent now has completed.
     */
    KeyConfirmation newConfirmation() {
        return new KeyConfirmation(clock.now(), wallClock.now());
    }

    /** Returns the revision of the configuration that was read last, 0 for none. */
    long configurationRevision() {
        return configurationRevision.get();
    }

    /**
     * Applies the result of a read of the configuration key.
     *
     * @param read empty if the store has no newer configuration than the one that was read last
     * @param confirmation times at which the read was sent
     */
    void applyConfigurationRead(Optional<StoreChange.Written> read, KeyConfirmation confirmation) {
        boolean current = read.map(this::adoptIfNewer).orElse(configurationRevision.get() > 0);
        if (current) {
            keyConfirmation.accumulateAndGet(
                    confirmation, (a, b) -> a.monotonicMillis() > b.monotonicMillis() ? a : b);
        }
    }

    /** Applies a complete listing of the registrations of replicas. */
    void replaceReplicas(Collection<StoreChange.Written> items) {
        Collection<ReplicaRegistration> entries =
                items.stream().map(this::decodeRegistration).flatMap(Optional::stream).toList();
        replicas.update(
                directory ->
                        directory.withAllRegistrations(entries, storeReachableSince, clock.now()));
        replicasListed.set(true);
    }

    /** Applies a change of a key; changes of unrelated keys are ignored. */
    void applyChange(StoreChange change) {
        if (change.key().equals(layout.configurationKey())) {
            if (change instanceof StoreChange.Written written) {
                adoptIfNewer(written);
            }
            return;
        }
        if (change.key().startsWith(InstanceEntryCodec.PREFIX)) {
            applyInstanceChange(change);
            return;
        }
        if (change.key().startsWith(CrashEvidenceKeys.PREFIX)) {
            CrashEvidenceKeys.crash(change).ifPresent(crash -> applyCrash(crash, change));
            return;
        }
        if (layout.isEvacuationKey(change.key())) {
            evacuations.applyChange(change);
            return;
        }
        if (!change.key().startsWith(layout.replicaPrefix())) {
            return;
        }
        Optional<ReplicaRegistration> entry =
                change instanceof StoreChange.Written written
                        ? decodeRegistration(written)
                        : Optional.empty();
        if (entry.isPresent()) {
            replicas.update(directory -> directory.withRegistration(entry.get()));
        } else {
            replicas.update(
                    directory ->
                            directory.withoutRegistration(
                                    change.key(),
                                    change.revision(),
                                    storeReachableSince,
                                    clock.now()));
        }
    }

    /** Applies a complete listing of the keys that evacuate data centres. */
    void replaceEvacuations(Collection<StoreChange.Written> items, long revision) {
        evacuations.applyListing(items, revision);
    }

    /** Applies a complete listing of the registrations of instances. */
    void replaceInstances(Collection<StoreChange.Written> items) {
        Map<String, InstanceEntry> next = new java.util.HashMap<>();
        items.stream()
                .map(InstanceEntryCodec::decode)
                .flatMap(Optional::stream)
                .forEach(instance -> next.put(instance.name(), instance));
        instances.set(Map.copyOf(next));
    }

    /** Applies a complete listing of the evidence of crashes. */
    void replaceCrashes(Collection<StoreChange.Written> items) {
        List<Crash> crashes =
                items.stream().map(CrashEvidenceKeys::crash).flatMap(Optional::stream).toList();
        crashEvidence.updateAndGet(current -> current.replacedBy(crashes, clock.now()));
    }

    private void applyCrash(Crash crash, StoreChange change) {
        if (change instanceof StoreChange.Written) {
            recordCrash(crash);
        } else {
            crashEvidence.updateAndGet(current -> current.without(crash.part(), crash.replica()));
        }
    }

    /** Records a crash that this instance observed, before the store has the entry. */
    void recordCrash(Crash crash) {
        crashEvidence.updateAndGet(current -> current.with(crash, clock.now()));
    }

    /** Removes the evidence against a part, before the store has removed the entries. */
    void removeCrashes(String part) {
        crashEvidence.updateAndGet(current -> current.withoutPart(part));
    }

    private void applyInstanceChange(StoreChange change) {
        String name = change.key().substring(InstanceEntryCodec.PREFIX.length());
        Optional<InstanceEntry> instance =
                change instanceof StoreChange.Written written
                        ? InstanceEntryCodec.decode(written)
                        : Optional.empty();
        instances.updateAndGet(
                current -> {
                    Map<String, InstanceEntry> next = new java.util.HashMap<>(current);
                    next.remove(name);
                    instance.ifPresent(value -> next.put(name, value));
                    return Map.copyOf(next);
                });
    }

    /**
     * Records whether the store is reachable, and logs a change.
     *
     * @param reason why the store is unreachable
     * @return whether the store was in the other state before
     */
    boolean recordStoreReachability(boolean reachable, String reason) {
        if (storeReachable.getAndSet(reachable) == reachable) {
            return false;
        }
        if (reachable) {
            // Registrations can have expired neither before the first contact nor in a short
            // interruption.
            if (storeReached.getAndSet(true) && clock.now() - storeLostAt >= MIN_OUTAGE_MS) {
                storeReachableSince = clock.now();
            }
            events.record(LogEvent.STORE_RECOVERED, HashMap.empty());
        } else {
            storeLostAt = clock.now();
            events.record(LogEvent.STORE_UNAVAILABLE, HashMap.of("reason", reason));
        }
        return true;
    }

    /** Removes the replicas that did not register again in time after a store outage. */
    public void removeStaleReplicas() {
        replicas.update(directory -> directory.withoutStaleEntries(clock.now()));
    }

    /**
     * Adopts a newer configuration.
     *
     * @return false if the value is not a readable configuration
     */
    private boolean adoptIfNewer(StoreChange.Written written) {
        if (written.revision() <= configurationRevision.get()) {
            return true;
        }
        Either<String, ForwardingTable> decoded = decodeConfiguration(written.value());
        if (decoded.isLeft()) {
            events.record(
                    LogEvent.CONFIGURATION_UNREADABLE, HashMap.of("reason", decoded.getLeft()));
            return false;
        }
        ForwardingTable next = decoded.get();
        ForwardingTable before =
                currentConfiguration.getAndUpdate(
                        current -> next.version() > current.version() ? next : current);
        configurationRevision.accumulateAndGet(written.revision(), Math::max);
        if (next.version() > before.version()) {
            events.record(
                    LogEvent.CONFIGURATION_ADOPTED,
                    HashMap.of("generation", next.version(), "source", "store"));
        } else if (next.version() < before.version()) {
            events.record(
                    LogEvent.CONFIGURATION_OLDER_IGNORED,
                    HashMap.of("generation", next.version(), "inForce", before.version()));
        }
        return true;
    }

    private Either<String, ForwardingTable> decodeConfiguration(StoreValue value) {
        return layout.configurationDecoder().apply(value);
    }

    private Optional<ReplicaRegistration> decodeRegistration(StoreChange.Written item) {
        Optional<Replica> replica = layout.replicaDecoder().apply(item);
        return replica.map(value -> new ReplicaRegistration(item.key(), item.revision(), value));
    }
}
