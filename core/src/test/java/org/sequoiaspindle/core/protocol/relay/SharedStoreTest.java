package org.sequoiaspindle.core.protocol.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.fake.SimulatedStore;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;

/** Guards against stale answers and against needless calls when reads are merged. */
final class SharedStoreTest {

    private static final String KEY = "op/config";
    private static final StoreCommand READ = new StoreCommand.ReadNewer(KEY, 0);
    private static final int FOLLOWERS = 15;

    private final VirtualTime time = new VirtualTime(1_000, new Random(1));
    private final SimulatedStore platform = new SimulatedStore(time);
    private final SharedStore store =
            new SharedStore(command -> platform.execute("reader", command), KEY, time, time);

    @Test
    void readIsAnsweredFromACallThatWasSentAfterIt() {
        platform.write(KEY, "1");
        execute(READ);
        time.advance(SharedRead.READ_INTERVAL_MS);
        CompletableFuture<StoreResult> first = execute(READ);
        platform.holdResponses(true);
        time.advance(3);
        platform.write(KEY, "2");
        // The call for the first read is under way, so it says nothing about the second.
        CompletableFuture<StoreResult> second = execute(READ);
        platform.holdResponses(false);
        time.advance(2 * SharedRead.READ_INTERVAL_MS);
        assertEquals("1", value(first));
        assertEquals("2", value(second));
    }

    /** Guards against a restart that takes longer because its first read waits for others. */
    @Test
    void instanceThatHasJustStartedIsAnsweredAtOnce() {
        platform.write(KEY, "1");
        execute(READ);
        time.advance(100);
        CompletableFuture<StoreResult> started = execute(READ);
        time.advance(100);
        assertEquals("1", value(started));
    }

    @Test
    void readsOfManyInstancesCostOneCallASecond() {
        platform.write(KEY, "1");
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            readRepeatedly(follower);
        }
        time.advance(10_000);
        assertTrue(platform.calls("reader") <= 11, () -> "calls: " + platform.calls("reader"));
    }

    private void readRepeatedly(int follower) {
        execute(new StoreCommand.ReadNewer(KEY, platform.revision()))
                .thenRun(() -> time.schedule(400 + follower, () -> readRepeatedly(follower)));
    }

    @Test
    void instanceThatKnowsTheNewestValueGetsNoItem() {
        platform.write(KEY, "1");
        CompletableFuture<StoreResult> ignorant = execute(READ);
        CompletableFuture<StoreResult> informed =
                execute(new StoreCommand.ReadNewer(KEY, platform.revision()));
        time.advance(2 * SharedRead.READ_INTERVAL_MS);
        assertEquals("1", value(ignorant));
        assertTrue(((StoreResult.Listed) completed(informed)).items().isEmpty());
    }

    @Test
    void watchesOfManyInstancesShareOneWatchAndGetEveryChange() {
        List<CompletableFuture<StoreResult>> watches = new ArrayList<>();
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            watches.add(execute(watch(platform.revision())));
        }
        time.advance(100);
        platform.write("servers/a", "x");
        time.advance(100);
        for (CompletableFuture<StoreResult> result : watches) {
            assertEquals(1, ((StoreResult.Changed) completed(result)).changes().size());
        }
        assertEquals(1, platform.calls("reader"));
    }

    @Test
    void changesInQuickSuccessionCostFewWatches() {
        watchRepeatedly(platform.revision());
        for (int change = 0; change < 100; change++) {
            platform.write("servers/a", "x" + change);
            time.advance(20);
        }
        long allowed = 2 + 2_000 / SharedWatch.WATCH_INTERVAL_MS;
        assertTrue(platform.calls("reader") <= allowed, () -> "calls: " + platform.calls("reader"));
    }

    private void watchRepeatedly(long after) {
        execute(watch(after))
                .thenAccept(result -> watchRepeatedly(((StoreResult.Changed) result).revision()));
    }

    @Test
    void watchOfAnInstanceThatIsBehindDeliversAllItMissed() {
        long before = platform.revision();
        platform.write("servers/a", "x");
        platform.write("servers/b", "x");
        execute(watch(platform.revision()));
        CompletableFuture<StoreResult> behind = execute(watch(before));
        time.advance(100);
        assertEquals(2, ((StoreResult.Changed) completed(behind)).changes().size());
    }

    @Test
    void stalledWatchIsReplacedOnceAnInstanceKnowsALaterRevision() {
        platform.stallWatches(true);
        execute(watch(platform.revision()));
        time.advance(1_000);
        platform.write("servers/a", "x");
        long after = platform.revision();
        platform.stallWatches(false);
        CompletableFuture<StoreResult> later = execute(watch(after));
        time.advance(SharedWatch.STALL_MS);
        platform.write("servers/b", "x");
        time.advance(SharedWatch.STALL_MS);
        assertEquals(1, ((StoreResult.Changed) completed(later)).changes().size());
    }

    /**
     * Guards against a reader whose followers all read directly because the store cut its watch.
     */
    @Test
    void watchThatTheStoreCutsIsRepeatedAndReportedToNobody() {
        List<CompletableFuture<StoreResult>> watches = new ArrayList<>();
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            watches.add(execute(watch(platform.revision())));
        }
        time.advance(100);
        platform.cutWatches();
        time.advance(SharedWatch.WATCH_INTERVAL_MS);
        assertTrue(watches.stream().noneMatch(CompletableFuture::isDone));
        platform.write("servers/a", "x");
        time.advance(100);
        for (CompletableFuture<StoreResult> result : watches) {
            assertEquals(1, ((StoreResult.Changed) completed(result)).changes().size());
        }
        assertEquals(2, platform.calls("reader"));
    }

    @Test
    void watchThatFailsAgainIsReportedAsAFailure() {
        CompletableFuture<StoreResult> watch = execute(watch(platform.revision()));
        time.advance(100);
        platform.setReachable("reader", false);
        platform.cutWatches();
        time.advance(SharedWatch.WATCH_TIMEOUT_MS + 2 * SimulatedStore.TIMEOUT_MS);
        assertInstanceOf(StoreResult.Unavailable.class, completed(watch));
    }

    @Test
    void lossOfTheHistoryIsReportedToAllWatches() {
        CompletableFuture<StoreResult> watch = execute(watch(platform.revision()));
        time.advance(100);
        platform.write("servers/a", "x");
        platform.compact();
        execute(watch(platform.revision()));
        time.advance(1_000);
        assertTrue(watch.isDone());
    }

    @Test
    void otherInstancesAreTurnedAwayAtOnceWhileTheStoreDoesNotRespond() {
        platform.setReachable("reader", false);
        execute(READ);
        time.advance(SimulatedStore.TIMEOUT_MS + 1);
        CompletableFuture<StoreResult> result = store.executeForPeer(READ).toCompletableFuture();
        assertInstanceOf(StoreResult.Unavailable.class, completed(result));
        platform.setReachable("reader", true);
        execute(READ);
        time.advance(100);
        assertFalse(store.executeForPeer(READ).toCompletableFuture().isDone());
    }

    @Test
    void writesOfOtherInstancesAreRefused() {
        StoreResult result =
                store.executeForPeer(new StoreCommand.Delete(KEY, 1)).toCompletableFuture().join();
        assertInstanceOf(StoreResult.Unavailable.class, result);
        assertEquals(0, platform.calls("reader"));
    }

    private CompletableFuture<StoreResult> execute(StoreCommand command) {
        return store.execute(command).toCompletableFuture();
    }

    private static StoreCommand watch(long after) {
        return new StoreCommand.AwaitChanges("", after, SharedWatch.WATCH_TIMEOUT_MS);
    }

    private static String value(CompletableFuture<StoreResult> result) {
        return ((StoreResult.Listed) completed(result)).items().head().value().text();
    }

    private static StoreResult completed(CompletableFuture<StoreResult> result) {
        assertTrue(result.isDone(), "no result yet");
        return result.join();
    }
}
