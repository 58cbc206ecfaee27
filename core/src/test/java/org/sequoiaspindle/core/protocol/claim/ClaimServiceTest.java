package org.sequoiaspindle.core.protocol.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.transport.StoreCallCounter;

/** Checks each result of a claim, the number of store calls and the use of leases. */
final class ClaimServiceTest {
    private static final long START_MS = 1_800_000_000_000L;
    private static final long HOUR_MS = 3_600_000L;
    private static final String KEY = START_MS + "-r";
    private static final StoreFaults LOST_RESPONSES = new StoreFaults(0, 1, 0, 0, 0);
    private static final RecordedOutcome ANSWER =
            RecordedOutcome.of(Outcome.ANSWERED, "answer", "");

    private final Random random = new Random(1);
    private final VirtualTime time = new VirtualTime(START_MS, random);
    private final FakeStore store = new FakeStore(time, random);
    private final StoreCallCounter callCounter = new StoreCallCounter(store);
    private final List<LogEvent> loggedEvents = new ArrayList<>();
    private final EventLog events = (event, fields) -> loggedEvents.add(event);
    private final AtomicLong nonce = new AtomicLong();
    private final ClaimService claimService = createClaimService(callCounter);

    @Test
    void finishedClaimIsReplayedByAnotherInstance() {
        assertTrue(await(claimService.finish(grantedClaim(), ANSWER)));
        assertEquals(
                new ClaimResult.Replay(ANSWER),
                await(createClaimService(store).claim("organisation", KEY, "digest")));
    }

    @Test
    void unfinishedClaimIsInUseAndNeverTakenOver() {
        grantedClaim();
        time.advance(22 * HOUR_MS);
        assertEquals(new ClaimResult.InUse(), claim());
    }

    @Test
    void differentRequestWithAUsedKeyIsRefused() {
        grantedClaim();
        assertEquals(
                new ClaimResult.DigestMismatch(),
                await(claimService.claim("organisation", KEY, "other")));
    }

    @Test
    void sameKeyOfAnotherOrganisationIsAnotherKey() {
        grantedClaim();
        assertInstanceOf(
                ClaimResult.Granted.class, await(claimService.claim("other", KEY, "digest")));
    }

    @Test
    void releasedKeyMayBeClaimedAgain() {
        assertTrue(await(claimService.release(grantedClaim())));
        grantedClaim();
    }

    @Test
    void requestWithAKeyNeedsTwoWritesAndNoRead() {
        grantedClaim();
        StoreCallCounter.Counts before = callCounter.counts();
        ClaimResult secondResult =
                await(claimService.claim("organisation", START_MS + "-s", "digest"));
        await(claimService.finish(((ClaimResult.Granted) secondResult).heldClaim(), ANSWER));
        assertEquals(2, callCounter.counts().swaps() - before.swaps());
        assertEquals(2, callCounter.counts().total() - before.total());
    }

    @Test
    void claimIsReadBackAndGrantedAfterALostResponse() {
        claimService.claim("organisation", START_MS + "-first", "digest");
        time.advance(HOUR_MS / 2);
        store.setFaults(LOST_RESPONSES);
        CompletionStage<ClaimResult> claim = claimService.claim("organisation", KEY, "digest");
        store.setFaults(StoreFaults.NONE);
        assertInstanceOf(ClaimResult.Granted.class, await(claim));
    }

    @Test
    void lostResponseDuringAnOutageReportsTheStoreUnavailableAndLaterTheKeyInUse() {
        claimService.claim("organisation", START_MS + "-first", "digest");
        time.advance(HOUR_MS / 2);
        store.setFaults(LOST_RESPONSES);
        CompletionStage<ClaimResult> claim = claimService.claim("organisation", KEY, "digest");
        store.setOutage(true);
        assertInstanceOf(ClaimResult.StoreUnavailable.class, await(claim));
        store.setOutage(false);
        store.setFaults(StoreFaults.NONE);
        assertEquals(new ClaimResult.InUse(), claim());
    }

    @Test
    void claimDuringAnOutageOrFreezeReportsTheStoreUnavailable() {
        store.setOutage(true);
        assertInstanceOf(ClaimResult.StoreUnavailable.class, claim());
        store.setOutage(false);
        store.setFrozen(true);
        assertInstanceOf(ClaimResult.StoreUnavailable.class, claim());
    }

    @Test
    void claimsOfOneHourShareOneLease() {
        for (int i = 0; i < 20; i++) {
            claimService.claim("organisation", START_MS + "-" + i, "digest");
        }
        time.advance(HOUR_MS - 1);
        claimService.claim("organisation", KEY, "digest");
        assertEquals(1, callCounter.counts().leases());
        time.advance(1);
        claimService.claim("organisation", START_MS + "-next", "digest");
        assertEquals(2, callCounter.counts().leases());
    }

    @Test
    void lostLeaseIsReplacedByTheNextClaim() {
        store.setOutage(true);
        claim();
        store.setOutage(false);
        assertInstanceOf(ClaimResult.Granted.class, claim());
        assertEquals(2, callCounter.counts().leases());
    }

    @Test
    void claimLastsUntilItsKeyHasExpired() {
        await(claimService.finish(grantedClaim(), ANSWER));
        long issuedAhead = START_MS + HOUR_MS;
        ClaimResult resultForKeyIssuedAhead =
                await(claimService.claim("organisation", issuedAhead + "-a", "digest"));
        assertInstanceOf(ClaimResult.Granted.class, resultForKeyIssuedAhead);
        time.advance(24 * HOUR_MS - 10 * 60_000);
        assertEquals(
                new ClaimResult.InUse(),
                await(claimService.claim("organisation", issuedAhead + "-a", "digest")));
        time.advance(HOUR_MS);
        assertEquals(
                new ClaimResult.Expired(),
                await(claimService.claim("organisation", issuedAhead + "-a", "digest")));
        assertEquals(new ClaimResult.Expired(), claim());
    }

    @Test
    void outcomeIsRecordedAfterAnOutage() {
        HeldClaim heldClaim = grantedClaim();
        store.setOutage(true);
        CompletionStage<Boolean> recording = claimService.finish(heldClaim, ANSWER);
        time.advance(3_000);
        store.setOutage(false);
        assertTrue(await(recording));
        assertEquals(new ClaimResult.Replay(ANSWER), claim());
    }

    @Test
    void outcomeIsRecordedOnceAlthoughTwoResponsesAreLost() {
        HeldClaim heldClaim = grantedClaim();
        store.setFaults(LOST_RESPONSES);
        CompletionStage<Boolean> recording = claimService.finish(heldClaim, ANSWER);
        time.advance(5_000);
        store.setFaults(new StoreFaults(0, 0, 0, 0, 0));
        assertTrue(await(recording));
        assertEquals(2, store.values(heldClaim.storeKey()).size());
    }

    @Test
    void unrecordedOutcomeIsLoggedAndTheKeyStaysInUse() {
        HeldClaim heldClaim = grantedClaim();
        store.setOutage(true);
        assertEquals(false, await(claimService.finish(heldClaim, ANSWER)));
        assertEquals(List.of(LogEvent.CLAIM_UNFINISHED), loggedEvents);
        store.setOutage(false);
        assertEquals(new ClaimResult.InUse(), claim());
    }

    @Test
    void unreadableClaimIsInUse() {
        store.put(ClaimKeys.of("organisation", KEY), "{}");
        assertEquals(new ClaimResult.InUse(), claim());
    }

    @Test
    void malformedAndExpiredKeysMakeNoStoreCall() {
        assertEquals(new ClaimResult.Malformed(), await(claimService.claim("o", "key", "digest")));
        assertEquals(
                new ClaimResult.Expired(),
                await(claimService.claim("o", START_MS - 24 * HOUR_MS + "-r", "digest")));
        assertEquals(0, store.calls());
    }

    @Test
    void manyThreadsShareOneLeaseAndOneOfThemIsGrantedTheKey() throws InterruptedException {
        ConcurrentHashMap<String, StoreValue> values = new ConcurrentHashMap<>();
        StoreCallCounter countedStore = new StoreCallCounter(command -> execute(command, values));
        ClaimService sharedService = createClaimService(countedStore);
        Queue<ClaimResult> results = new ConcurrentLinkedQueue<>();
        Callable<Void> claim =
                () -> {
                    sharedService.claim("organisation", KEY, "digest").thenAccept(results::add);
                    return null;
                };
        ExecutorService threads = Executors.newFixedThreadPool(4);
        threads.invokeAll(Collections.nCopies(1_000, claim));
        threads.shutdown();
        assertEquals(1, countedStore.counts().leases());
        assertEquals(1, results.stream().filter(ClaimResult.Granted.class::isInstance).count());
        assertEquals(999, results.stream().filter(new ClaimResult.InUse()::equals).count());
    }

    private static CompletionStage<StoreResult> execute(
            StoreCommand command, ConcurrentHashMap<String, StoreValue> values) {
        if (command instanceof StoreCommand.CompareAndSwap swap) {
            boolean created = values.putIfAbsent(swap.key(), swap.value()) == null;
            return CompletableFuture.completedStage(
                    created ? new StoreResult.Swapped(1) : new StoreResult.Conflict(1));
        }
        return CompletableFuture.completedStage(
                command instanceof StoreCommand.Read read
                        ? new StoreResult.Found(values.get(read.key()), 1)
                        : new StoreResult.LeaseCreated(1));
    }

    @Test
    void counterCountsEachKindOfCall() {
        callCounter.execute(new StoreCommand.Read("key"));
        callCounter.execute(new StoreCommand.AwaitChange("key", 0, 10));
        callCounter.execute(new StoreCommand.Delete("key", 1));
        callCounter.execute(new StoreCommand.CreateLease(1));
        store.setOutage(true);
        callCounter.execute(new StoreCommand.Read("key"));
        time.advance(HOUR_MS);
        assertEquals(new StoreCallCounter.Counts(2, 0, 1, 1, 1, 1), callCounter.counts());
    }

    private ClaimService createClaimService(Store usedStore) {
        return new ClaimService(
                usedStore,
                time,
                time::now,
                time::now,
                () -> "instance-" + nonce.incrementAndGet(),
                events);
    }

    private HeldClaim grantedClaim() {
        return assertInstanceOf(ClaimResult.Granted.class, claim()).heldClaim();
    }

    private ClaimResult claim() {
        return await(claimService.claim("organisation", KEY, "digest"));
    }

    private <T> T await(CompletionStage<T> stage) {
        CompletableFuture<T> result = stage.toCompletableFuture();
        time.advance(60_000);
        return result.getNow(null);
    }
}
