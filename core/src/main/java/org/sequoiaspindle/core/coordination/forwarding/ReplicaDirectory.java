package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * Replicas known from their entries in the store. Entries lapse while the store is away although
 * their replicas live; such a replica stays in use until it has had time to register again.
 * Immutable.
 */
public final class ReplicaDirectory {

    /**
     * Time after a regained contact within which living replicas are registered again, in
     * milliseconds. The platform states about two seconds.
     */
    public static final long REREGISTRATION_MS = 2_000;

    public static final ReplicaDirectory EMPTY = new ReplicaDirectory(Map.of(), Long.MIN_VALUE / 2);

    private record Entry(ReplicaRegistration registration, boolean stale) {}

    private final Map<String, Entry> entries;
    private final long contactRegainedAt;

    private ReplicaDirectory(Map<String, Entry> entries, long contactRegainedAt) {
        this.entries = Map.copyOf(entries);
        this.contactRegainedAt = contactRegainedAt;
    }

    /**
     * Directory after a complete read of all entries.
     *
     * @param regainedAt time at which the contact with the store was regained if it had been lost,
     *     in milliseconds; the time of the last loss stays in force if this one is older
     */
    public ReplicaDirectory withAllRegistrations(
            Collection<ReplicaRegistration> registrations, long regainedAt, long now) {
        long regainedAtLatest = Math.max(contactRegainedAt, regainedAt);
        Map<String, Entry> next = new HashMap<>();
        if (now - regainedAtLatest < REREGISTRATION_MS) {
            entries.forEach((key, entry) -> next.put(key, new Entry(entry.registration(), true)));
        }
        registrations.forEach(
                registration -> next.put(registration.key(), new Entry(registration, false)));
        return new ReplicaDirectory(next, regainedAtLatest);
    }

    /** Directory after an entry was written; older news than known is ignored. */
    public ReplicaDirectory withRegistration(ReplicaRegistration registration) {
        Entry entry = entries.get(registration.key());
        if (entry != null && entry.registration().revision() > registration.revision()) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.put(registration.key(), new Entry(registration, false));
        return new ReplicaDirectory(next, contactRegainedAt);
    }

    /** Directory after an entry was removed, or has become unreadable. */
    public ReplicaDirectory withoutRegistration(String key, long revision, long now) {
        Entry entry = entries.get(key);
        if (entry == null || entry.registration().revision() > revision) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        if (now - contactRegainedAt < REREGISTRATION_MS) {
            next.put(key, new Entry(entry.registration(), true));
        } else {
            next.remove(key);
        }
        return new ReplicaDirectory(next, contactRegainedAt);
    }

    /** Directory without the replicas that have not registered again in time. */
    public ReplicaDirectory withoutStaleEntries(long now) {
        if (now - contactRegainedAt < REREGISTRATION_MS
                || entries.values().stream().noneMatch(Entry::stale)) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.values().removeIf(Entry::stale);
        return new ReplicaDirectory(next, contactRegainedAt);
    }

    /** Replicas that take new work. */
    public ReplicaTable table() {
        List<Replica> usable = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.registration().replica().draining()) {
                usable.add(entry.registration().replica());
            }
        }
        return new ReplicaTable(usable);
    }
}
