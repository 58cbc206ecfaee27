package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against requests to removed replicas, and against unnecessary store calls. */
final class RegistryWatcherTest {

    /** Time within which an instance that reaches the store must drop a removed replica. */
    private static final long REMOVAL_TIMEOUT_MS = 2_000;

    /** About the number of items that the platform's store lists at once. */
    private static final int PAGE_SIZE = 500;

    private static final ForwardingTable TABLE =
            new ForwardingTable(7, List.of(), List.of(), IngressLimits.DEFAULT, Map.of(), false);

    private final VirtualTime time = new VirtualTime(0, new Random(1));
    private final ItemStore store = new ItemStore();
    private final Registry registry = new Registry(layout(), time, time, (event, fields) -> {});
    private final RegistryWatcher watcher = new RegistryWatcher(store, layout(), registry, time);

    @Test
    void changeThatTheWatchDoesNotDeliverIsDetectedByThePoll() {
        store.write("replicas/one", "one");
        watcher.start(0);
        time.advance(100);
        assertEquals(1, registry.replicas().all().size());
        store.remove("replicas/one");
        time.advance(REMOVAL_TIMEOUT_MS);
        assertTrue(registry.replicas().all().isEmpty());
    }

    /** Guards against an instance that reports ready before it knows any replica. */
    @Test
    void registryIsNotInitialisedUntilTheReplicasAreListed() {
        store.write("op/config", "any");
        store.listsReplicas = false;
        watcher.start(0);
        time.advance(100);
        assertEquals(7, registry.configuration().version());
        assertFalse(registry.isInitialised());
        store.listsReplicas = true;
        time.advance(REMOVAL_TIMEOUT_MS);
        assertTrue(registry.isInitialised());
    }

    @Test
    void replicasAreNotListedAgainWhileTheWatchDeliversChanges() {
        store.write("replicas/one", "one");
        watcher.start(0);
        time.advance(100);
        int listings = store.replicaListings;
        for (int change = 0; change < 20; change++) {
            store.write("replicas/one", "one");
            store.completeWatches();
            time.advance(500);
        }
        assertEquals(listings, store.replicaListings);
        assertEquals(1, registry.replicas().all().size());
    }

    /**
     * Guards against the time that replicas get to register again after an outage of the store: a
     * started instance has seen no outage, and must not send to a replica that leaves then.
     */
    @Test
    void replicaThatLeavesAfterTheStartOfAnInstanceIsDroppedAtOnce() {
        store.write("replicas/one", "one");
        watcher.start(0);
        time.advance(100);
        store.remove("replicas/one");
        store.completeWatches();
        assertTrue(registry.replicas().all().isEmpty());
    }

    @Test
    void replicaThatExpiredInAnOutageIsDroppedOnlyAfterTheTimeToRegisterAgain() {
        startWithReplica();
        failCallsFor(Registry.MIN_OUTAGE_MS + RegistryWatcher.RETRY_DELAY_MS);
        store.remove("replicas/one");
        store.completeWatches();
        assertEquals(1, registry.replicas().all().size());
        time.advance(REMOVAL_TIMEOUT_MS);
        assertTrue(registry.replicas().all().isEmpty());
    }

    /** Guards against sending to a replica that leaves just after a single failed call. */
    @Test
    void replicaThatLeavesAfterAShortInterruptionIsDroppedAtOnce() {
        startWithReplica();
        failCallsFor(RegistryWatcher.RETRY_DELAY_MS);
        store.remove("replicas/one");
        store.completeWatches();
        assertTrue(registry.replicas().all().isEmpty());
    }

    /**
     * Guards against missing a change between the pages of a listing: pages are shared between
     * instances, so the first page can be newer than the second one.
     */
    @Test
    void changeThatOnlyAnOlderPageLacksIsNotMissed() {
        store.pageSize = PAGE_SIZE;
        for (int number = 0; number < 2 * PAGE_SIZE; number++) {
            store.write("replicas/%04d".formatted(number), "ready");
        }
        String last = "replicas/%04d".formatted(2 * PAGE_SIZE - 1);
        store.keepPagesAfter("replicas/%04d".formatted(PAGE_SIZE - 1));
        store.remove(last);
        watcher.start(0);
        time.advance(100);
        store.completeWatches();
        assertEquals(2 * PAGE_SIZE - 1, registry.replicas().all().size());
    }

    private void startWithReplica() {
        store.write("op/config", "any");
        store.write("replicas/one", "one");
        watcher.start(0);
        time.advance(100);
    }

    /** Lets the next poll and all calls after it fail for a time. */
    private void failCallsFor(long millis) {
        store.reachable = false;
        time.advance(RegistryWatcher.POLL_INTERVAL_MS);
        time.advance(millis - RegistryWatcher.RETRY_DELAY_MS / 2);
        store.reachable = true;
        time.advance(RegistryWatcher.RETRY_DELAY_MS);
    }

    private static RegistryLayout layout() {
        return new RegistryLayout(
                "op/config",
                "replicas/",
                value -> Either.right(TABLE),
                RegistryWatcherTest::replica);
    }

    private static Optional<Replica> replica(StoreChange.Written item) {
        return Optional.of(
                new Replica(
                        new ReplicaId(item.key(), 1),
                        "service",
                        new HostPort("10.0.0.1", 80),
                        "a",
                        1,
                        false));
    }

    /** Store whose watches deliver nothing until {@code completeWatches} is called. */
    private static final class ItemStore implements Store {

        private final TreeMap<String, StoreChange.Written> items = new TreeMap<>();
        private final List<StoreChange> history = new ArrayList<>();
        private final List<Watch> watches = new ArrayList<>();
        private long revision = 1;
        private int replicaListings;
        private boolean listsReplicas = true;
        private boolean reachable = true;
        private int pageSize = Integer.MAX_VALUE;
        private final Map<String, StoreResult> keptPages = new HashMap<>();

        private record Watch(long after, CompletableFuture<StoreResult> result) {}

        void write(String key, String value) {
            StoreChange.Written change =
                    new StoreChange.Written(key, StoreValue.ofString(value), ++revision);
            items.put(key, change);
            history.add(change);
        }

        void remove(String key) {
            items.remove(key);
            history.add(new StoreChange.Removed(key, ++revision));
        }

        /** Keeps the page of the replicas after a key as it is now, as if it was read before. */
        void keepPagesAfter(String key) {
            keptPages.put(key, page(new StoreCommand.ListItems("replicas/", key)));
        }

        private StoreResult page(StoreCommand.ListItems list) {
            Vector<StoreChange.Written> matchingItems =
                    Vector.ofAll(items.values())
                            .filter(item -> item.key().startsWith(list.prefix()))
                            .filter(item -> item.key().compareTo(list.after()) > 0);
            return new StoreResult.Listed(
                    matchingItems.take(pageSize), matchingItems.size() > pageSize, revision);
        }

        void completeWatches() {
            List<Watch> pendingWatches = List.copyOf(watches);
            watches.clear();
            pendingWatches.forEach(watch -> watch.result().complete(since(watch.after())));
        }

        private StoreResult since(long after) {
            return new StoreResult.Changed(
                    Vector.ofAll(history).filter(change -> change.revision() > after), revision);
        }

        @Override
        public CompletionStage<StoreResult> execute(StoreCommand command) {
            if (!reachable) {
                return CompletableFuture.completedFuture(new StoreResult.Unavailable("cut off"));
            }
            if (command instanceof StoreCommand.ListItems list) {
                boolean isReplicaListing = list.prefix().equals("replicas/");
                if (isReplicaListing && !listsReplicas) {
                    return CompletableFuture.completedFuture(
                            new StoreResult.Unavailable("not now"));
                }
                replicaListings += isReplicaListing ? 1 : 0;
                StoreResult page = isReplicaListing ? keptPages.get(list.after()) : null;
                return CompletableFuture.completedFuture(page == null ? page(list) : page);
            }
            if (command instanceof StoreCommand.AwaitChanges watch) {
                CompletableFuture<StoreResult> result = new CompletableFuture<>();
                watches.add(new Watch(watch.afterRevision(), result));
                return result;
            }
            if (command instanceof StoreCommand.ReadNewer read) {
                return CompletableFuture.completedFuture(
                        new StoreResult.Listed(
                                Vector.ofAll(items.values())
                                        .filter(item -> item.key().equals(read.key()))
                                        .filter(item -> item.revision() > read.knownRevision()),
                                false,
                                revision));
            }
            return CompletableFuture.completedFuture(new StoreResult.Missing());
        }
    }
}
