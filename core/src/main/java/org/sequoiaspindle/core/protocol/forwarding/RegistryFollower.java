package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.collection.Vector;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.KeyConfirmation;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/**
 * Keeps a {@link Registry} up to date: lists once, then waits for changes. A poll of the
 * configuration beside the watch confirms the API keys and tells the revision of the store. A watch
 * that has not delivered that revision is silent or behind; it is given up and everything is listed
 * anew.
 */
public final class RegistryFollower implements AutoCloseable {

    /** Longest wait of one watch, in milliseconds. Each call is paid for, also a waiting one. */
    static final long WATCH_MS = 10_000;

    /** Pause after a failed call, in milliseconds. */
    static final long RETRY_MS = 400;

    /**
     * Time between two polls, in milliseconds. With a lost call ({@code 1 s}) and the time for the
     * watch to catch up, a silent watch is noticed within the 3 s after which an instance counts as
     * in contact again.
     */
    static final long POLL_MS = 1_200;

    /** Time between two polls while no configuration is known, in milliseconds. */
    static final long FIRST_POLL_MS = 100;

    /** Time for a watch to deliver what a poll has seen, in milliseconds; it takes a few. */
    static final long CATCH_UP_MS = 300;

    private final Store store;
    private final RegistryLayout layout;
    private final Registry registry;
    private final Timer timer;
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Number of the listing that is followed; the results of earlier ones are ignored. */
    private final AtomicLong round = new AtomicLong();

    /** Revision up to which the changes are known. */
    private final AtomicLong followedTo = new AtomicLong(Long.MAX_VALUE);

    public RegistryFollower(Store store, RegistryLayout layout, Registry registry, Timer timer) {
        this.store = store;
        this.layout = layout;
        this.registry = registry;
        this.timer = timer;
    }

    /** Starts to follow; returns at once. */
    public void start() {
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
        KeyConfirmation sentAt = registry.readStarts();
        Invariants.watch(
                store.execute(new StoreCommand.ListItems(layout.configurationKey(), ""))
                        .thenAccept(result -> polled(result, sentAt)));
    }

    private void polled(StoreResult result, KeyConfirmation sentAt) {
        if (result instanceof StoreResult.Listed listed) {
            registry.contact(true, "");
            configurationIn(listed)
                    .ifPresent(read -> registry.configurationRead(Optional.of(read), sentAt));
            timer.schedule(CATCH_UP_MS, () -> checkWatch(listed.revision()));
        } else {
            registry.contact(false, String.valueOf(result));
        }
        registry.expire();
        timer.schedule(pollDelay(result), this::poll);
    }

    private long pollDelay(StoreResult result) {
        if (registry.table().isNone()) {
            return FIRST_POLL_MS;
        }
        return result instanceof StoreResult.Listed ? POLL_MS : RETRY_MS;
    }

    /** The prefix may match other keys. */
    private Optional<StoreChange.Written> configurationIn(StoreResult.Listed listed) {
        return listed.items()
                .find(item -> item.key().equals(layout.configurationKey()))
                .toJavaOptional();
    }

    private void checkWatch(long revision) {
        if (followedTo.get() < revision) {
            listAll();
        }
    }

    /** Reads what is there, then waits for the changes since the first read. */
    private void listAll() {
        long number = round.incrementAndGet();
        followedTo.set(Long.MAX_VALUE);
        list(
                new Listing(number, layout.replicaPrefix(), Vector.empty(), 0),
                replicas -> {
                    registry.replicasListed(replicas.items().asJava());
                    list(
                            new Listing(
                                    number,
                                    InstanceEntry.PREFIX,
                                    Vector.empty(),
                                    replicas.revision()),
                            instances -> {
                                registry.peersListed(instances.items().asJava());
                                followedTo.set(instances.revision());
                                watch(number);
                            });
                });
    }

    /**
     * Pages read so far.
     *
     * @param round number of the listing
     * @param revision revision of the store at the first read, 0 before it
     */
    private record Listing(
            long round, String prefix, Vector<StoreChange.Written> items, long revision) {

        String lastKey() {
            return items.lastOption().map(StoreChange.Written::key).getOrElse("");
        }

        Listing with(StoreResult.Listed page) {
            return new Listing(
                    round,
                    prefix,
                    items.appendAll(page.items()),
                    revision == 0 ? page.revision() : revision);
        }
    }

    private void list(Listing listing, Consumer<Listing> completed) {
        if (isOver(listing.round())) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.ListItems(listing.prefix(), listing.lastKey()))
                        .thenAccept(result -> listed(result, listing, completed)));
    }

    private void listed(StoreResult result, Listing before, Consumer<Listing> completed) {
        if (!(result instanceof StoreResult.Listed page)) {
            registry.contact(false, String.valueOf(result));
            timer.schedule(RETRY_MS, () -> listAgain(before.round()));
            return;
        }
        registry.contact(true, "");
        Listing listing = before.with(page);
        if (page.more() && !page.items().isEmpty()) {
            list(listing, completed);
        } else {
            completed.accept(listing);
        }
    }

    private void listAgain(long number) {
        if (!isOver(number)) {
            listAll();
        }
    }

    private void watch(long number) {
        if (isOver(number)) {
            return;
        }
        Invariants.watch(
                store.execute(new StoreCommand.AwaitChanges("", followedTo.get(), WATCH_MS))
                        .thenAccept(result -> watched(result, number)));
    }

    private void watched(StoreResult result, long number) {
        if (isOver(number)) {
            return;
        }
        if (result instanceof StoreResult.Changed changed) {
            registry.contact(true, "");
            changed.changes().forEach(registry::changed);
            followedTo.accumulateAndGet(changed.revision(), Math::max);
            watch(number);
        } else if (result instanceof StoreResult.HistoryLost) {
            listAll();
        } else {
            registry.contact(false, String.valueOf(result));
            timer.schedule(RETRY_MS, () -> watch(number));
        }
    }

    private boolean isOver(long number) {
        return closed.get() || round.get() != number;
    }
}
