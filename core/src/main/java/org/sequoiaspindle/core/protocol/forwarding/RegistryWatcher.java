package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.Vector;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.admission.KeyConfirmation;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaDirectory;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Keeps a {@link Registry} up to date: lists all entries once, then watches for changes. It also
 * polls the configuration, which confirms the API keys and returns the store's current revision. If
 * the watch does not deliver that revision, the watch has stalled. All entries are then listed
 * again and a new watch is started.
 */
public final class RegistryWatcher implements AutoCloseable {

    /** Long-poll timeout of a watch, in milliseconds. Long, because every store call is billed. */
    static final long WATCH_TIMEOUT_MS = 10_000;

    /** Delay after a failed call, in milliseconds. */
    static final long RETRY_DELAY_MS = 400;

    /**
     * Time over which the first reads of instances that start together are spread, in milliseconds.
     * The first instance registers within a few milliseconds, and the others read through it.
     */
    static final long START_SPREAD_MS = 500;

    /**
     * Interval between polls, in milliseconds. A poll waits up to another second to be merged with
     * those of other instances. Even after a poll that times out after 1 s and the time for the
     * watch to catch up, a stalled watch is detected within the 3 s after which an instance counts
     * as connected to the store again.
     */
    static final long POLL_INTERVAL_MS = 500;

    /**
     * Time for a watch to deliver a revision that a poll has returned, in milliseconds. Normally a
     * few milliseconds suffice, after the quarter of a second in which a shared watch collects
     * changes.
     */
    static final long WATCH_CATCH_UP_MS = 600;

    private final Store store;
    private final RegistryLayout layout;
    private final Registry registry;
    private final Timer timer;
    private final List<PrefixView> views;
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Sequence number of the current listing; results of earlier listings are ignored. */
    private final AtomicLong listingNumber = new AtomicLong();

    /** Store revision up to which changes have been applied. */
    private final AtomicLong watchedRevision = new AtomicLong(Long.MAX_VALUE);

    public RegistryWatcher(Store store, RegistryLayout layout, Registry registry, Timer timer) {
        this(store, layout, registry, timer, List.of());
    }

    /**
     * Creates a watcher.
     *
     * @param views copies of further keys that are kept up to date; each costs one listing
     */
    public RegistryWatcher(
            Store store,
            RegistryLayout layout,
            Registry registry,
            Timer timer,
            List<PrefixView> views) {
        this.views = List.copyOf(views);
        this.store = store;
        this.layout = layout;
        this.registry = registry;
        this.timer = timer;
    }

    /**
     * Starts polling and watching; returns immediately. The instances are looked up first, because
     * the store is read through them. If there are none, all instances probably start at the same
     * time, so the look-up is repeated after a delay that differs between instances.
     *
     * @param spread fraction of the longest delay, from 0 to 1
     */
    public void start(double spread) {
        findInstances(
                Vector.empty(),
                () -> {
                    if (registry.instances().isEmpty()) {
                        timer.schedule(
                                (long) (START_SPREAD_MS * spread),
                                () -> findInstances(Vector.empty(), this::begin));
                    } else {
                        begin();
                    }
                });
    }

    private void findInstances(Vector<StoreChange.Written> previousItems, Runnable onEnd) {
        String after = previousItems.lastOption().map(StoreChange.Written::key).getOrElse("");
        Invariants.reportFailure(
                store.execute(new StoreCommand.ListItems(InstanceEntryCodec.PREFIX, after, true))
                        .thenAccept(
                                result -> {
                                    if (!(result instanceof StoreResult.Listed page)) {
                                        onEnd.run();
                                        return;
                                    }
                                    Vector<StoreChange.Written> items =
                                            previousItems.appendAll(page.items());
                                    if (page.more() && !page.items().isEmpty()) {
                                        findInstances(items, onEnd);
                                    } else {
                                        registry.replaceInstances(items.asJava());
                                        onEnd.run();
                                    }
                                }));
    }

    private void begin() {
        poll();
        listAll();
    }

    @Override
    public void close() {
        closed.set(true);
    }

    private void poll() {
        if (closed.get()) {
            return;
        }
        KeyConfirmation confirmation = registry.newConfirmation();
        Invariants.reportFailure(
                store.execute(
                                new StoreCommand.ReadNewer(
                                        layout.configurationKey(),
                                        registry.configurationRevision()))
                        .thenAccept(result -> pollCompleted(result, confirmation)));
    }

    private void pollCompleted(StoreResult result, KeyConfirmation confirmation) {
        if (result instanceof StoreResult.Listed listed) {
            recordStoreReachable();
            registry.applyConfigurationRead(
                    listed.items().headOption().toJavaOptional(), confirmation);
            timer.schedule(WATCH_CATCH_UP_MS, () -> relistIfWatchIsBehind(listed.revision()));
        } else {
            registry.recordStoreReachability(false, String.valueOf(result));
        }
        boolean succeeded = result instanceof StoreResult.Listed;
        timer.schedule(succeeded ? POLL_INTERVAL_MS : RETRY_DELAY_MS, this::poll);
    }

    private void relistIfWatchIsBehind(long revision) {
        if (watchedRevision.get() < revision) {
            listAll();
        }
    }

    /**
     * Lists evacuations, replicas, instances and evidence of crashes, then watches for changes
     * since the oldest page was read.
     */
    private void listAll() {
        long number = listingNumber.incrementAndGet();
        watchedRevision.set(Long.MAX_VALUE);
        if (layout.evacuationPrefix().isEmpty()) {
            listReplicas(number, 0);
            return;
        }
        // First, because nothing else that is listed has to be in force as soon.
        list(
                new Listing(number, layout.evacuationPrefix().get(), Vector.empty(), 0),
                evacuations -> {
                    registry.replaceEvacuations(
                            evacuations.items().asJava(), evacuations.revision());
                    listReplicas(number, evacuations.revision());
                });
    }

    private void listReplicas(long number, long revision) {
        list(
                new Listing(number, layout.replicaPrefix(), Vector.empty(), revision),
                replicas -> {
                    registry.replaceReplicas(replicas.items().asJava());
                    listInstances(number, replicas.revision());
                });
    }

    private void listInstances(long number, long revision) {
        list(
                new Listing(number, InstanceEntryCodec.PREFIX, Vector.empty(), revision),
                instances -> {
                    registry.replaceInstances(instances.items().asJava());
                    listCrashes(number, instances.revision());
                });
    }

    private void listCrashes(long number, long revision) {
        list(
                new Listing(number, CrashEvidenceKeys.PREFIX, Vector.empty(), revision),
                crashes -> {
                    registry.replaceCrashes(crashes.items().asJava());
                    listViews(number, crashes.revision(), views);
                });
    }

    private void listViews(long number, long revision, List<PrefixView> remaining) {
        if (remaining.isEmpty()) {
            watchedRevision.set(revision);
            watch(number);
            return;
        }
        PrefixView view = remaining.get(0);
        list(
                new Listing(number, view.prefix(), Vector.empty(), revision),
                listing -> {
                    view.replaceAll(listing.items().asJava(), listing.revision());
                    listViews(number, listing.revision(), remaining.subList(1, remaining.size()));
                });
    }

    private void applyChange(StoreChange change) {
        registry.applyChange(change);
        views.stream()
                .filter(view -> change.key().startsWith(view.prefix()))
                .forEach(view -> view.apply(change));
    }

    /**
     * Pages of a listing read so far.
     *
     * @param listingNumber number of the listing
     * @param revision lowest store revision of a page, 0 before the first page has been read; pages
     *     are shared between instances, so a later page may be older than the first one
     */
    private record Listing(
            long listingNumber, String prefix, Vector<StoreChange.Written> items, long revision) {

        String lastKey() {
            return items.lastOption().map(StoreChange.Written::key).getOrElse("");
        }

        Listing withPage(StoreResult.Listed page) {
            return new Listing(
                    listingNumber,
                    prefix,
                    items.appendAll(page.items()),
                    revision == 0 ? page.revision() : Math.min(revision, page.revision()));
        }
    }

    private void list(Listing listing, Consumer<Listing> onCompleted) {
        if (isSuperseded(listing.listingNumber())) {
            return;
        }
        Invariants.reportFailure(
                store.execute(new StoreCommand.ListItems(listing.prefix(), listing.lastKey()))
                        .thenAccept(result -> pageListed(result, listing, onCompleted)));
    }

    private void pageListed(
            StoreResult result, Listing previousPages, Consumer<Listing> onCompleted) {
        if (!(result instanceof StoreResult.Listed page)) {
            registry.recordStoreReachability(false, String.valueOf(result));
            timer.schedule(RETRY_DELAY_MS, () -> retryListing(previousPages.listingNumber()));
            return;
        }
        recordStoreReachable();
        Listing listing = previousPages.withPage(page);
        if (page.more() && !page.items().isEmpty()) {
            list(listing, onCompleted);
        } else {
            onCompleted.accept(listing);
        }
    }

    private void retryListing(long number) {
        if (!isSuperseded(number)) {
            listAll();
        }
    }

    private void watch(long number) {
        if (isSuperseded(number)) {
            return;
        }
        Invariants.reportFailure(
                store.execute(
                                new StoreCommand.AwaitChanges(
                                        "", watchedRevision.get(), WATCH_TIMEOUT_MS))
                        .thenAccept(result -> watchCompleted(result, number)));
    }

    private void watchCompleted(StoreResult result, long number) {
        if (isSuperseded(number)) {
            return;
        }
        if (result instanceof StoreResult.Changed changed) {
            recordStoreReachable();
            changed.changes().forEach(this::applyChange);
            watchedRevision.accumulateAndGet(changed.revision(), Math::max);
            watch(number);
        } else if (result instanceof StoreResult.HistoryLost) {
            listAll();
        } else {
            registry.recordStoreReachability(false, String.valueOf(result));
            timer.schedule(RETRY_DELAY_MS, () -> watch(number));
        }
    }

    /** After an outage, replicas get a limited time to register again. */
    private void recordStoreReachable() {
        if (registry.recordStoreReachability(true, "")) {
            timer.schedule(ReplicaDirectory.REREGISTRATION_MS, registry::removeStaleReplicas);
        }
    }

    private boolean isSuperseded(long number) {
        return closed.get() || listingNumber.get() != number;
    }
}
