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
import org.sequoiaspindle.core.coordination.forwarding.RegisteredEntry;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaDirectory;
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

    private record Replicas(ReplicaDirectory directory, ReplicaTable table) {}

    private final RegistryLayout layout;
    private final MillisClock clock;
    private final MillisClock wall;
    private final EventLog events;
    private final AtomicReference<ForwardingTable> table =
            new AtomicReference<>(ForwardingTable.NONE);
    private final AtomicReference<Replicas> replicas =
            new AtomicReference<>(new Replicas(ReplicaDirectory.EMPTY, ReplicaTable.EMPTY));
    private final AtomicReference<Map<String, PeerInstance>> peers =
            new AtomicReference<>(Map.of());
    private final AtomicReference<KeyConfirmation> confirmation =
            new AtomicReference<>(KeyConfirmation.NONE);
    private final AtomicReference<Long> configurationRevision = new AtomicReference<>(-1L);
    private final AtomicBoolean contact = new AtomicBoolean();
    private final AtomicBoolean replicasKnown = new AtomicBoolean();
    private volatile long regainedAt = Long.MIN_VALUE / 2;

    public Registry(RegistryLayout layout, MillisClock clock, MillisClock wall, EventLog events) {
        this.layout = layout;
        this.clock = clock;
        this.wall = wall;
        this.events = events;
    }

    /** The configuration in force. Its version never falls. */
    public ForwardingTable table() {
        return table.get();
    }

    public ReplicaTable replicas() {
        return replicas.get().table();
    }

    /** Whether a configuration and the replicas have been read, so that requests can be served. */
    public boolean isComplete() {
        return !table().isNone() && replicasKnown.get();
    }

    /** The registered instances of the system, by name; this one is among them. */
    public Map<String, PeerInstance> peers() {
        return peers.get();
    }

    /** Whether the API keys were confirmed within the given time, suspensions included. */
    public boolean keysConfirmed(long maxAgeMillis) {
        return confirmation.get().holds(clock.now(), wall.now(), maxAgeMillis);
    }

    /** A moment at which a read is sent, to be passed to {@link #configurationRead}. */
    KeyConfirmation readStarts() {
        return new KeyConfirmation(clock.now(), wall.now());
    }

    /** Takes the answer to a read of the configuration key that was sent at the given moment. */
    void configurationRead(Optional<StoreChange.Written> read, KeyConfirmation sentAt) {
        if (read.isEmpty() || adopt(read.get())) {
            confirmation.accumulateAndGet(
                    sentAt, (a, b) -> a.monotonicMillis() > b.monotonicMillis() ? a : b);
        }
    }

    /** Takes a complete list of the replicas' entries. */
    void replicasListed(Collection<StoreChange.Written> items) {
        Collection<RegisteredEntry> entries =
                items.stream().map(this::entry).flatMap(Optional::stream).toList();
        update(directory -> directory.replaced(entries, regainedAt, clock.now()));
        replicasKnown.set(true);
    }

    /** Takes a change of any key below the followed prefixes. */
    void changed(StoreChange change) {
        if (change.key().equals(layout.configurationKey())) {
            if (change instanceof StoreChange.Written written) {
                adopt(written);
            }
            return;
        }
        if (change.key().startsWith(InstanceEntry.PREFIX)) {
            peerChanged(change);
            return;
        }
        if (!change.key().startsWith(layout.replicaPrefix())) {
            return;
        }
        Optional<RegisteredEntry> entry =
                change instanceof StoreChange.Written written ? entry(written) : Optional.empty();
        if (entry.isPresent()) {
            update(directory -> directory.written(entry.get()));
        } else {
            update(directory -> directory.removed(change.key(), change.revision(), clock.now()));
        }
    }

    /** Takes a complete list of the entries of instances. */
    void peersListed(Collection<StoreChange.Written> items) {
        Map<String, PeerInstance> next = new java.util.HashMap<>();
        items.stream()
                .map(InstanceEntry::read)
                .flatMap(Optional::stream)
                .forEach(peer -> next.put(peer.name(), peer));
        peers.set(Map.copyOf(next));
    }

    private void peerChanged(StoreChange change) {
        String name = change.key().substring(InstanceEntry.PREFIX.length());
        Optional<PeerInstance> peer =
                change instanceof StoreChange.Written written
                        ? InstanceEntry.read(written)
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
    void contact(boolean answers, String reason) {
        if (contact.getAndSet(answers) == answers) {
            return;
        }
        if (answers) {
            regainedAt = clock.now();
            events.record(LogEvent.STORE_RECOVERED, HashMap.empty());
        } else {
            events.record(LogEvent.STORE_UNAVAILABLE, HashMap.of("reason", reason));
        }
    }

    /** Drops replicas that have not registered again in time after an outage of the store. */
    public void expire() {
        update(directory -> directory.expired(clock.now()));
    }

    /** Whether the value was a readable configuration, adopted or already known. */
    private boolean adopt(StoreChange.Written written) {
        if (written.revision() <= configurationRevision.get()) {
            return true;
        }
        Either<String, ForwardingTable> read = read(written.value());
        if (read.isLeft()) {
            events.record(LogEvent.CONFIGURATION_UNREADABLE, HashMap.of("reason", read.getLeft()));
            return false;
        }
        ForwardingTable next = read.get();
        ForwardingTable before =
                table.getAndUpdate(current -> next.version() > current.version() ? next : current);
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

    private Either<String, ForwardingTable> read(StoreValue value) {
        return layout.configuration().apply(value);
    }

    private Optional<RegisteredEntry> entry(StoreChange.Written item) {
        Optional<Replica> replica = layout.replica().apply(item);
        return replica.map(value -> new RegisteredEntry(item.key(), item.revision(), value));
    }

    private void update(UnaryOperator<ReplicaDirectory> change) {
        Replicas before =
                replicas.getAndUpdate(
                        current -> {
                            ReplicaDirectory next = change.apply(current.directory());
                            return next == current.directory()
                                    ? current
                                    : new Replicas(next, next.table());
                        });
        logMembers(before.table(), replicas.get().table());
    }

    private void logMembers(ReplicaTable before, ReplicaTable after) {
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
