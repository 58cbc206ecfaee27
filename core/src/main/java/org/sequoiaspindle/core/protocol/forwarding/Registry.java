package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.KeyConfirmation;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaDirectory;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaRegistration;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * What this instance holds of the platform's store: the configuration in force, the replicas, and
 * when the store last confirmed them. Readers get immutable values and never wait. Thread-safe.
 */
public final class Registry {

    private record ReplicaSnapshot(ReplicaDirectory directory, ReplicaTable table) {}

    private final RegistryLayout layout;
    private final MillisClock clock;
    private final MillisClock wallClock;
    private final EventLog events;
    private final AtomicReference<ForwardingTable> configurationRef =
            new AtomicReference<>(ForwardingTable.NONE);
    private final AtomicReference<ReplicaSnapshot> replicaSnapshot =
            new AtomicReference<>(new ReplicaSnapshot(ReplicaDirectory.EMPTY, ReplicaTable.EMPTY));
    private final AtomicReference<Map<String, PeerInstance>> peers =
            new AtomicReference<>(Map.of());
    private final AtomicReference<KeyConfirmation> keyConfirmation =
            new AtomicReference<>(KeyConfirmation.NONE);
    private final AtomicReference<Long> configurationRevision = new AtomicReference<>(-1L);
    private final AtomicBoolean storeReachable = new AtomicBoolean();
    private final AtomicBoolean replicasListed = new AtomicBoolean();
    private volatile long contactRegainedAt = Long.MIN_VALUE / 2;

    public Registry(
            RegistryLayout layout, MillisClock clock, MillisClock wallClock, EventLog events) {
        this.layout = layout;
        this.clock = clock;
        this.wallClock = wallClock;
        this.events = events;
    }

    /** The configuration in force. Its version never falls. */
    public ForwardingTable configuration() {
        return configurationRef.get();
    }

    public ReplicaTable replicas() {
        return replicaSnapshot.get().table();
    }

    /** Whether a configuration and the replicas have been read, so that requests can be served. */
    public boolean isInitialised() {
        return !configuration().isUnconfigured() && replicasListed.get();
    }

    /** The registered instances of the system, by name; this one is among them. */
    public Map<String, PeerInstance> peers() {
        return peers.get();
    }

    /** Whether the API keys were confirmed within the given time, suspensions included. */
    public boolean keysConfirmed(long maxAgeMillis) {
        return keyConfirmation.get().isValid(clock.now(), wallClock.now(), maxAgeMillis);
    }

    /** A moment at which a read is sent, to be passed to {@link #applyConfigurationRead}. */
    KeyConfirmation startRead() {
        return new KeyConfirmation(clock.now(), wallClock.now());
    }

    /** Takes the answer to a read of the configuration key that was sent at the given moment. */
    void applyConfigurationRead(Optional<StoreChange.Written> read, KeyConfirmation sentAt) {
        if (read.isEmpty() || adoptIfNewer(read.get())) {
            keyConfirmation.accumulateAndGet(
                    sentAt, (a, b) -> a.monotonicMillis() > b.monotonicMillis() ? a : b);
        }
    }

    /** Takes a complete list of the replicas' entries. */
    void replaceReplicas(Collection<StoreChange.Written> items) {
        Collection<ReplicaRegistration> entries =
                items.stream().map(this::decodeRegistration).flatMap(Optional::stream).toList();
        updateReplicas(
                directory ->
                        directory.withAllRegistrations(entries, contactRegainedAt, clock.now()));
        replicasListed.set(true);
    }

    /** Takes a change of any key below the followed prefixes. */
    void applyChange(StoreChange change) {
        if (change.key().equals(layout.configurationKey())) {
            if (change instanceof StoreChange.Written written) {
                adoptIfNewer(written);
            }
            return;
        }
        if (change.key().startsWith(InstanceEntryCodec.PREFIX)) {
            applyPeerChange(change);
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
            updateReplicas(directory -> directory.withRegistration(entry.get()));
        } else {
            updateReplicas(
                    directory ->
                            directory.withoutRegistration(
                                    change.key(), change.revision(), clock.now()));
        }
    }

    /** Takes a complete list of the entries of instances. */
    void replacePeers(Collection<StoreChange.Written> items) {
        Map<String, PeerInstance> next = new java.util.HashMap<>();
        items.stream()
                .map(InstanceEntryCodec::decode)
                .flatMap(Optional::stream)
                .forEach(peer -> next.put(peer.name(), peer));
        peers.set(Map.copyOf(next));
    }

    private void applyPeerChange(StoreChange change) {
        String name = change.key().substring(InstanceEntryCodec.PREFIX.length());
        Optional<PeerInstance> peer =
                change instanceof StoreChange.Written written
                        ? InstanceEntryCodec.decode(written)
                        : Optional.empty();
        peers.updateAndGet(
                current -> {
                    Map<String, PeerInstance> next = new java.util.HashMap<>(current);
                    next.remove(name);
                    peer.ifPresent(value -> next.put(name, value));
                    return Map.copyOf(next);
                });
    }

    /** Notes whether the store answers. */
    void storeContactChanged(boolean reachable, String reason) {
        if (storeReachable.getAndSet(reachable) == reachable) {
            return;
        }
        if (reachable) {
            contactRegainedAt = clock.now();
            events.record(LogEvent.STORE_RECOVERED, HashMap.empty());
        } else {
            events.record(LogEvent.STORE_UNAVAILABLE, HashMap.of("reason", reason));
        }
    }

    /** Drops replicas that have not registered again in time after an outage of the store. */
    public void removeStaleReplicas() {
        updateReplicas(directory -> directory.withoutStaleEntries(clock.now()));
    }

    /** Whether the value was a readable configuration, adopted or already known. */
    private boolean adoptIfNewer(StoreChange.Written written) {
        if (written.revision() <= configurationRevision.get()) {
            return true;
        }
        Either<String, ForwardingTable> read = decodeConfiguration(written.value());
        if (read.isLeft()) {
            events.record(LogEvent.CONFIGURATION_UNREADABLE, HashMap.of("reason", read.getLeft()));
            return false;
        }
        ForwardingTable next = read.get();
        ForwardingTable before =
                configurationRef.getAndUpdate(
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

    private void updateReplicas(UnaryOperator<ReplicaDirectory> change) {
        ReplicaSnapshot before =
                replicaSnapshot.getAndUpdate(
                        current -> {
                            ReplicaDirectory next = change.apply(current.directory());
                            return next == current.directory()
                                    ? current
                                    : new ReplicaSnapshot(next, next.table());
                        });
        logReplicaChanges(before.table(), replicaSnapshot.get().table());
    }

    private void logReplicaChanges(ReplicaTable before, ReplicaTable after) {
        if (before == after) {
            return;
        }
        for (Replica replica : after.all()) {
            if (!before.contains(replica.id())) {
                record(LogEvent.ENDPOINT_ADDED, replica);
            }
        }
        for (Replica replica : before.all()) {
            if (!after.contains(replica.id())) {
                record(LogEvent.ENDPOINT_LEAVING, replica);
            }
        }
    }

    private void record(LogEvent event, Replica replica) {
        events.record(
                event,
                HashMap.of(
                        "endpoint",
                        replica.address().toString(),
                        "id",
                        replica.id().toString(),
                        "service",
                        replica.service()));
    }
}
