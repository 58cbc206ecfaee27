package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * Replicas of the registrations in the store. During a store outage, registrations of live replicas
 * expire. Such a replica remains in the directory until it has had time to register again.
 * Immutable.
 */
public final class ReplicaDirectory {

    /**
     * Time within which live replicas register again after a store outage, in milliseconds. The
     * platform specifies about two seconds.
     */
    public static final long REREGISTRATION_MS = 2_000;

    public static final ReplicaDirectory EMPTY = new ReplicaDirectory(Map.of(), Long.MIN_VALUE / 2);

    private record Entry(ReplicaRegistration registration, boolean stale) {}

    private final Map<String, Entry> entries;
    private final long storeReachableSince;

    private ReplicaDirectory(Map<String, Entry> entries, long storeReachableSince) {
        this.entries = Map.copyOf(entries);
        this.storeReachableSince = storeReachableSince;
    }

    /**
     * Returns the directory after a complete listing of the registrations.
     *
     * @param reachableSince time at which the store last became reachable again, in milliseconds;
     *     ignored if the directory already contains a later time
     */
    public ReplicaDirectory withAllRegistrations(
            Collection<ReplicaRegistration> registrations, long reachableSince, long now) {
        long latestReachableSince = Math.max(storeReachableSince, reachableSince);
        Map<String, Entry> newEntries = new HashMap<>();
        if (now - latestReachableSince < REREGISTRATION_MS) {
            entries.forEach(
                    (key, entry) -> newEntries.put(key, new Entry(entry.registration(), true)));
        }
        registrations.forEach(
                registration -> newEntries.put(registration.key(), new Entry(registration, false)));
        return new ReplicaDirectory(newEntries, latestReachableSince);
    }

    /**
     * Returns the directory after a registration was written. A revision older than the current one
     * is ignored.
     */
    public ReplicaDirectory withRegistration(ReplicaRegistration registration) {
        Entry entry = entries.get(registration.key());
        if (entry != null && entry.registration().revision() > registration.revision()) {
            return this;
        }
        Map<String, Entry> newEntries = new HashMap<>(entries);
        newEntries.put(registration.key(), new Entry(registration, false));
        return new ReplicaDirectory(newEntries, storeReachableSince);
    }

    /**
     * Returns the directory after a registration was removed or became unreadable.
     *
     * @param reachableSince time at which the store last became reachable again, in milliseconds
     */
    public ReplicaDirectory withoutRegistration(
            String key, long revision, long reachableSince, long now) {
        Entry entry = entries.get(key);
        if (entry == null || entry.registration().revision() > revision) {
            return this;
        }
        long latestReachableSince = Math.max(storeReachableSince, reachableSince);
        Map<String, Entry> newEntries = new HashMap<>(entries);
        if (now - latestReachableSince < REREGISTRATION_MS) {
            newEntries.put(key, new Entry(entry.registration(), true));
        } else {
            newEntries.remove(key);
        }
        return new ReplicaDirectory(newEntries, latestReachableSince);
    }

    /**
     * Returns the directory without the replicas that did not register again in time after an
     * outage.
     */
    public ReplicaDirectory withoutStaleEntries(long now) {
        if (now - storeReachableSince < REREGISTRATION_MS
                || entries.values().stream().noneMatch(Entry::stale)) {
            return this;
        }
        Map<String, Entry> newEntries = new HashMap<>(entries);
        newEntries.values().removeIf(Entry::stale);
        return new ReplicaDirectory(newEntries, storeReachableSince);
    }

    /** Returns a table of the replicas that accept new requests. */
    public ReplicaTable table() {
        List<Replica> activeReplicas = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.registration().replica().draining()) {
                activeReplicas.add(entry.registration().replica());
            }
        }
        return new ReplicaTable(activeReplicas);
    }
}
