package org.sequoiaspindle.core.state.forwarding;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which data centres are evacuated, with the store revision at which each was last evacuated or
 * restored. Updates may arrive late and in any order: an older revision never replaces a newer one.
 * Immutable.
 *
 * @param entries state of each data centre that the listing or a later change has named
 * @param listedRevision store revision of the latest listing, 0 if there was none. The state of
 *     every data centre at that revision is known, also of those without an entry.
 */
public record Evacuations(Map<String, Entry> entries, long listedRevision) {

    /** Nothing has been read yet. */
    public static final Evacuations UNREAD = new Evacuations(Map.of(), 0);

    /**
     * State of a data centre.
     *
     * @param revision store revision at which the data centre was evacuated or restored
     */
    public record Entry(boolean evacuated, long revision) {}

    /** What was read from the store. */
    public sealed interface Update {}

    /** A data centre was evacuated or restored at a store revision. */
    public record Change(String dataCentre, boolean evacuated, long revision) implements Update {}

    /**
     * Complete listing of the evacuated data centres.
     *
     * @param evacuatedAt store revision at which each of them was evacuated
     * @param revision store revision of the listing
     */
    public record Listing(Map<String, Long> evacuatedAt, long revision) implements Update {

        public Listing {
            evacuatedAt = Map.copyOf(evacuatedAt);
        }
    }

    public Evacuations {
        entries = Map.copyOf(entries);
    }

    /** Returns whether the evacuated data centres have been listed. */
    public boolean isListed() {
        return listedRevision > 0;
    }

    public boolean isEvacuated(String dataCentre) {
        Entry entry = entries.get(dataCentre);
        return entry != null && entry.evacuated();
    }

    /** Returns the names of the evacuated data centres in alphabetical order. */
    public Set<String> evacuated() {
        Set<String> names = new TreeSet<>(entries.keySet());
        names.removeIf(name -> !isEvacuated(name));
        return Collections.unmodifiableSet(names);
    }

    /** Returns the store revision up to which the state of a data centre is known. */
    public long knownRevision(String dataCentre) {
        Entry entry = entries.get(dataCentre);
        return entry == null ? listedRevision : Math.max(listedRevision, entry.revision());
    }

    /** Returns the state after an update. */
    public Evacuations with(Update update) {
        return update instanceof Change change ? withChange(change) : withListing((Listing) update);
    }

    private Evacuations withChange(Change change) {
        if (change.revision() <= knownRevision(change.dataCentre())) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>(entries);
        next.put(change.dataCentre(), new Entry(change.evacuated(), change.revision()));
        return new Evacuations(next, listedRevision);
    }

    private Evacuations withListing(Listing listing) {
        if (listing.revision() <= listedRevision) {
            return this;
        }
        Map<String, Entry> next = new HashMap<>();
        listing.evacuatedAt()
                .forEach((name, revision) -> next.put(name, new Entry(true, revision)));
        entries.forEach(
                (name, entry) -> {
                    if (entry.revision() > listing.revision()) {
                        next.put(name, entry);
                    }
                });
        return new Evacuations(next, listing.revision());
    }
}
