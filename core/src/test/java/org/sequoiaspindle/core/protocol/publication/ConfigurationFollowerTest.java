package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.fake.FakeObjectSets;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.SnapshotHolder;

/** Tests the adoption of configurations and the watch on the head. */
final class ConfigurationFollowerTest {
    private static final PartSource UNRESPONSIVE = digests -> new CompletableFuture<>();
    private static final long ADOPTION_LIMIT_MS = 8_000;

    private final Random random = new Random(1);
    private final VirtualTime time = new VirtualTime(0, random);
    private final FakeStore store = new FakeStore(time, random);
    private final FakeObjectSets sets = new FakeObjectSets();
    private final SnapshotHolder holder = new SnapshotHolder();
    private final AtomicBoolean isWatcher = new AtomicBoolean();
    private final List<LogEvent> logEvents = Collections.synchronizedList(new ArrayList<>());
    private final List<ActiveConfiguration> announcements =
            Collections.synchronizedList(new ArrayList<>());
    private final EventLog events = (event, fields) -> logEvents.add(event);
    private final ConfigurationFollower follower = follower(store, sets.functions());

    @Test
    void corruptPartsFromAPeerAreReplacedByPartsFromTheStore() {
        ConfigurationHead head = publish(1);
        PartSource peerWithCorruptParts =
                digests ->
                        CompletableFuture.completedStage(
                                Either.right(partsByDigest(1).mapValues(text -> text + " ")));
        follower.offer(head, peerWithCorruptParts);
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(1, FakeObjectSets.slots(holder.current().objects()));
        assertEquals(partsByDigest(1), follower.activeConfiguration().parts());
        assertEquals(1, announcements.size());
    }

    @Test
    void nextOfferSucceedsAfterAnUnresponsivePeerDuringAnOutage() {
        ConfigurationHead head = publish(1);
        store.setOutage(true);
        follower.offer(head, UNRESPONSIVE);
        time.advance(ADOPTION_LIMIT_MS);
        assertTrue(holder.current().isInitial());
        follower.offer(head, peer(1));
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(1, holder.current().generation());
    }

    @Test
    void newerHeadDoesNotWaitForTheFetchOfAnOlderHead() {
        ConfigurationHead older = publish(1);
        ConfigurationHead newer = publish(2);
        store.setOutage(true);
        follower.offer(older, UNRESPONSIVE);
        follower.offer(newer, peer(2));
        assertEquals(2, holder.current().generation());
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(2, holder.current().generation());
    }

    @Test
    void offersOfOneGenerationShareOneFetch() {
        ConfigurationHead head = publish(1);
        List<Vector<String>> fetches = new ArrayList<>();
        CompletableFuture<Either<String, Map<String, String>>> fetchResult =
                new CompletableFuture<>();
        PartSource source =
                digests -> {
                    fetches.add(digests);
                    return fetchResult;
                };
        follower.offer(head, source);
        follower.offer(head, source);
        follower.offer(head, source);
        fetchResult.complete(Either.right(partsByDigest(1)));
        assertEquals(1, fetches.size());
        assertEquals(1, holder.current().generation());
    }

    @Test
    void onlyChangedPartsAreFetched() {
        follower.offer(publish(1), peer(1));
        ConfigurationHead newerHead = publish(2);
        List<Vector<String>> fetches = new ArrayList<>();
        follower.offer(
                newerHead,
                digests -> {
                    fetches.add(digests);
                    return peer(2).fetch(digests);
                });
        assertEquals(2, holder.current().generation());
        assertEquals(1, fetches.get(0).size());
    }

    @Test
    void inconsistentSetIsNotAdoptedAndNotFetchedAgain() {
        ValidationProblem problem =
                new ValidationProblem("code", "stages", "s", "field", "message");
        ObjectSetFunctions rejectingFunctions =
                new ObjectSetFunctions(
                        sets.functions().writer(),
                        sets.functions().reader(),
                        set -> Vector.of(problem));
        ConfigurationHead head = publish(1);
        ConfigurationFollower rejectingFollower = follower(store, rejectingFunctions);
        rejectingFollower.offer(head, peer(1));
        rejectingFollower.offer(head, peer(1));
        assertTrue(holder.current().isInitial());
        assertEquals(List.of(LogEvent.CONFIGURATION_UNREADABLE), logEvents);
    }

    @Test
    void configuredInstanceThatIsNotAWatcherMakesNoStoreCall() {
        publish(1);
        follower.start();
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(1, holder.current().generation());
        long calls = store.calls();
        publish(2);
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(calls, store.calls());
        isWatcher.set(true);
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(2, holder.current().generation());
    }

    @Test
    void watcherThatCouldNotFetchThePartsTriesAgain() {
        publish(1);
        AtomicBoolean partsAvailable = new AtomicBoolean();
        Store storeWithoutReads =
                command ->
                        command instanceof StoreCommand.Read && !partsAvailable.get()
                                ? CompletableFuture.completedStage(
                                        new StoreResult.Unavailable("no read"))
                                : store.execute(command);
        isWatcher.set(true);
        follower(storeWithoutReads, sets.functions()).start();
        time.advance(ADOPTION_LIMIT_MS);
        assertTrue(holder.current().isInitial());
        partsAvailable.set(true);
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(1, holder.current().generation());
    }

    @Test
    void concurrentOffersEndWithTheNewestGeneration() throws InterruptedException {
        ObjectSetFunctions empty =
                new ObjectSetFunctions(
                        set -> "", text -> Either.right(ObjectSet.empty()), set -> Vector.empty());
        ConfigurationFollower sharedFollower = follower(store, empty);
        List<Callable<Void>> offers = new ArrayList<>();
        for (int i = 1; i <= 2_000; i++) {
            ConfigurationHead head =
                    new ConfigurationHead(i, "s", "operator", 0, Vector.empty(), Vector.empty());
            offers.add(
                    () -> {
                        sharedFollower.offer(head, UNRESPONSIVE);
                        return null;
                    });
        }
        Collections.shuffle(offers, random);
        ExecutorService threads = Executors.newFixedThreadPool(4);
        threads.invokeAll(offers);
        threads.shutdown();
        assertEquals(2_000, holder.current().generation());
        assertEquals(2_000, sharedFollower.activeConfiguration().head().get().generation());
    }

    @Test
    void idleWatchMakesOneStoreCallPerWaitingTime() {
        publish(1);
        isWatcher.set(true);
        follower.start();
        time.advance(ADOPTION_LIMIT_MS);
        long calls = store.calls();
        time.advance(100 * HeadWatcher.WATCH_WAIT_MS);
        assertTrue(store.calls() - calls <= 100, () -> store.calls() + " calls");
    }

    @Test
    void frozenStoreIsReportedAsSilentAndWatchedAgainAfterRecovery() {
        publish(1);
        isWatcher.set(true);
        follower.start();
        time.advance(ADOPTION_LIMIT_MS);
        store.setFrozen(true);
        time.advance(ADOPTION_LIMIT_MS);
        publish(2);
        store.setFrozen(false);
        time.advance(ADOPTION_LIMIT_MS);
        assertEquals(2, holder.current().generation());
        assertTrue(logEvents.contains(LogEvent.WATCH_SILENT));
        assertEquals(1, count(LogEvent.STORE_UNAVAILABLE));
        assertEquals(1, count(LogEvent.STORE_RECOVERED));
    }

    @Test
    void storeThatRespondsAtOnceWithAnOlderHeadIsNotCalledInALoop() {
        ConfigurationHead olderHead = publish(1);
        List<StoreCommand> calls = new ArrayList<>();
        Store storeWithUnchangedHead =
                command -> {
                    calls.add(command);
                    return command instanceof StoreCommand.Read
                            ? store.execute(command)
                            : CompletableFuture.completedStage(store.executeDirectly(readHead()));
                };
        ConfigurationFollower watchingFollower = follower(storeWithUnchangedHead, sets.functions());
        isWatcher.set(true);
        watchingFollower.start();
        time.advance(ADOPTION_LIMIT_MS);
        watchingFollower.offer(headWithoutStoreWrite(2), peer(2));
        int callsBefore = calls.size();
        time.advance(20_000);
        assertEquals(2, holder.current().generation());
        assertEquals(1, olderHead.generation());
        assertTrue(calls.size() - callsBefore <= 100, () -> calls.size() + " calls");
    }

    private static StoreCommand readHead() {
        return new StoreCommand.Read(ConfigurationKeys.HEAD);
    }

    private long count(LogEvent event) {
        return logEvents.stream().filter(event::equals).count();
    }

    private ConfigurationFollower follower(Store sourceStore, ObjectSetFunctions functions) {
        return new ConfigurationFollower(
                sourceStore,
                time,
                time::now,
                random::nextDouble,
                isWatcher::get,
                functions,
                holder,
                announcements::add,
                events);
    }

    private Map<String, String> partsByDigest(int generation) {
        return parts(generation).partsByDigest();
    }

    private ConfigurationParts parts(int generation) {
        ObjectSet set = FakeObjectSets.withSlots(generation);
        return ConfigurationParts.split(set, sets.functions().writer());
    }

    private PartSource peer(int generation) {
        return digests ->
                CompletableFuture.completedStage(
                        Either.right(partsByDigest(generation).filterKeys(digests::contains)));
    }

    private ConfigurationHead headWithoutStoreWrite(int generation) {
        return new ConfigurationHead(
                generation, "s", "operator", 0, Vector.empty(), parts(generation).references());
    }

    private ConfigurationHead publish(int generation) {
        ConfigurationHead head = headWithoutStoreWrite(generation);
        partsByDigest(generation)
                .forEach((digest, text) -> store.put(ConfigurationKeys.part(digest), text));
        store.put(ConfigurationKeys.HEAD, HeadWriter.write(head));
        return head;
    }
}
