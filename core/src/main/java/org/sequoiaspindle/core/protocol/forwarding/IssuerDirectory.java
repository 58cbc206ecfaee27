package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.store.StoreChange;

/**
 * Which instance issues the permits for each replica, as the store says. It only tells whom to ask;
 * whether an instance may issue never depends on it. Thread-safe.
 */
public final class IssuerDirectory implements PrefixView {

    /** A key, with an empty holder if it has been removed or is in another format. */
    record Entry(Optional<IssuerKeys.Holder> holder, long revision) {}

    /**
     * What has been read.
     *
     * @param listedAt revision that the last listing contained; -1 before the first listing
     */
    private record View(Map<String, Entry> entries, long listedAt) {}

    private static final Entry ABSENT = new Entry(Optional.empty(), -1);

    private final AtomicReference<View> view = new AtomicReference<>(new View(HashMap.empty(), -1));

    @Override
    public String prefix() {
        return IssuerKeys.PREFIX;
    }

    @Override
    public void replaceAll(Collection<StoreChange.Written> items, long revision) {
        view.updateAndGet(
                current -> {
                    Map<String, Entry> next =
                            current.entries().filterValues(e -> e.revision() > revision);
                    for (StoreChange.Written item : items) {
                        next = merge(next, item);
                    }
                    return new View(next, Math.max(current.listedAt(), revision));
                });
    }

    @Override
    public void apply(StoreChange change) {
        view.updateAndGet(
                current -> new View(merge(current.entries(), change), current.listedAt()));
    }

    private static Map<String, Entry> merge(Map<String, Entry> entries, StoreChange change) {
        Optional<IssuerKeys.Holder> holder =
                change instanceof StoreChange.Written written
                        ? IssuerKeys.decode(written)
                        : Optional.empty();
        return entries.put(
                change.key(),
                new Entry(holder, change.revision()),
                (known, next) -> next.revision() >= known.revision() ? next : known);
    }

    /** Returns whether the keys have been listed. */
    boolean isListed() {
        return view.get().listedAt() >= 0;
    }

    /** Returns the name of the instance that issues permits for a replica. */
    public Optional<String> issuerOf(String replica) {
        return entry(IssuerKeys.key(replica)).holder().map(IssuerKeys.Holder::instance);
    }

    /**
     * Returns what is known of a key. A key that the last listing does not contain was absent at
     * the revision of the listing.
     */
    Entry entry(String key) {
        View current = view.get();
        return current.entries()
                .get(key)
                .getOrElse(() -> new Entry(ABSENT.holder(), current.listedAt()));
    }

    /** Returns the keys held by a process. */
    Map<String, Entry> entriesOf(String process) {
        return view.get()
                .entries()
                .filterValues(
                        entry ->
                                entry.holder()
                                        .filter(h -> h.process().equals(process))
                                        .isPresent());
    }
}
