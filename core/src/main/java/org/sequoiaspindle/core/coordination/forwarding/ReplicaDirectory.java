package org.sequoiaspindle.core.coordination.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/**
 * Replicas known from their registrations in the store. During a store outage registrations expire
 * although their replicas are alive; such a replica remains usable until it has had time to
 * register again. Immutable.
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
    private final long contactRegainedAt;

    private ReplicaDirectory(Map<String, Entry> entries, long contactRegainedAt) {
        this.entries = Map.copyOf(entries);
        this.contactRegainedAt = contactRegainedAt;
    }

    /**
     * Directory after a complete listing of the registrations.
     *
     * @param regainedAt time at which the store last became reachable again, in milliseconds;
     *     ignored if the directory already holds a later one
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

    /**
     * Directory after a registration was written; older revisions than the known one are ignored.
     */
    public ReplicaDirectory withRegistration(ReplicaRegistration registration) {
        Entry entry = entries.get(registration.key());
        if (entry != null && entry.registration().revision() > registration.revision()) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.put(registration.key(), new Entry(registration, false));
        return new ReplicaDirectory(next, contactRegainedAt);
    }

    /** Directory after a registration was removed or became unreadable. */
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

    /** Directory without the replicas that did not register again in time after an outage. */
    public ReplicaDirectory withoutStaleEntries(long now) {
        if (now - contactRegainedAt < REREGISTRATION_MS
                || entries.values().stream().noneMatch(Entry::stale)) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.values().removeIf(Entry::stale);
        return new ReplicaDirectory(next, contactRegainedAt);
    }

    /** Replicas that accept new requests. */
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
