package org.sequoiaspindle.core.protocol.claim;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.claim.Claim;
import org.sequoiaspindle.core.coordination.claim.ClaimVerdict;
import org.sequoiaspindle.core.coordination.claim.KeyRule;
import org.sequoiaspindle.core.coordination.claim.KeyStanding;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Claims idempotency keys in the platform's store, so that a request with a key runs at most once
 * on any instance. Thread-safe; no stage completes exceptionally.
 */
public final class ClaimKeeper {
    /** Reads of a claim whose write gave no answer; more would outlast most deadlines. */
    private static final int READ_BACK_ATTEMPTS = 2;

    private static final int FINISH_ATTEMPTS = 8;
    private static final long FINISH_RETRY_MS = 1_000;

    private final Store store;
    private final StoreReader reader;
    private final Timer timer;
    private final MillisClock wallClock;
    private final Supplier<String> attemptIds;
    private final LeaseKeeper leases;
    private final EventLog events;

    /**
     * @param wallClock judges the age of keys
     * @param monotonicClock judges the age of leases
     * @param attemptIds gives a value that no other attempt on any instance has, made of the
     *     instance id and a nonce that does not repeat after a restart
     */
    public ClaimKeeper(
            Store store,
            Timer timer,
            MillisClock wallClock,
            MillisClock monotonicClock,
            Supplier<String> attemptIds,
            EventLog events) {
        this.store = store;
        this.reader = new StoreReader(store, timer, READ_BACK_ATTEMPTS);
        this.timer = timer;
        this.wallClock = wallClock;
        this.attemptIds = attemptIds;
        this.leases = new LeaseKeeper(store, monotonicClock);
        this.events = events;
    }

    /**
     * Claims a key. The stage may outlast the deadline of the request; a claim that is granted too
     * late must be released.
     *
     * @param digest digest of pipeline and input
     */
    public CompletionStage<ClaimResult> claim(String organisation, String key, String digest) {
        KeyStanding standing = KeyRule.standing(key, wallClock.now());
        if (standing == KeyStanding.MALFORMED) {
            return done(new ClaimResult.Malformed());
        }
        if (standing == KeyStanding.EXPIRED) {
            return done(new ClaimResult.Expired());
        }
        Claim claim = Claim.begun(attemptIds.get(), digest);
        String storeKey = ClaimKeys.of(organisation, key);
        return leases.lease()
                .thenCompose(
                        lease ->
                                lease.fold(
                                        reason -> done(new ClaimResult.StoreUnavailable(reason)),
                                        id -> create(storeKey, claim, id)));
    }

    private CompletionStage<ClaimResult> create(String storeKey, Claim claim, long lease) {
        return store.execute(swap(storeKey, StoreCommand.ABSENT, claim, lease))
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Swapped swapped) {
                                return done(granted(storeKey, swapped.version(), claim, lease));
                            }
                            if (result instanceof StoreResult.Unavailable) {
                                leases.drop(lease);
                            }
                            return readBack(storeKey, claim, lease);
                        });
    }

    /**
     * A missing claim is not created again: the first write may still be under way, and the caller
     * may repeat the request.
     */
    private CompletionStage<ClaimResult> readBack(String storeKey, Claim claim, long lease) {
        return reader.read(storeKey)
                .thenApply(
                        result ->
                                result instanceof StoreResult.Found found
                                        ? judge(storeKey, claim, lease, found)
                                        : new ClaimResult.StoreUnavailable(
                                                "the claim could not be read back: " + result));
    }

    private ClaimResult judge(String storeKey, Claim claim, long lease, StoreResult.Found found) {
        Either<String, Claim> stored = ClaimReader.read(found.value().text());
        if (stored.isLeft()) {
            return new ClaimResult.InUse();
        }
        ClaimVerdict verdict = ClaimVerdict.of(stored.get(), claim);
        if (verdict instanceof ClaimVerdict.Own) {
            return granted(storeKey, found.version(), claim, lease);
        }
        if (verdict instanceof ClaimVerdict.Ended ended) {
            return new ClaimResult.Replay(ended.outcome());
        }
        return verdict instanceof ClaimVerdict.OtherRequest
                ? new ClaimResult.DigestMismatch()
                : new ClaimResult.InUse();
    }

    /**
     * Records the outcome, repeating in the background for a bounded time. The stage tells whether
     * it is recorded; otherwise repeats of the request stay unknown.
     */
    public CompletionStage<Boolean> finish(ClaimHandle handle, RecordedOutcome outcome) {
        Claim finished = handle.claim().finished(outcome);
        StoreCommand command = swap(handle.storeKey(), handle.version(), finished, handle.lease());
        return finish(command, handle, finished, FINISH_ATTEMPTS)
                .thenApply(
                        recorded -> {
                            if (!recorded) {
                                events.record(
                                        LogEvent.CLAIM_UNFINISHED,
                                        HashMap.of("claim", handle.storeKey()));
                            }
                            return recorded;
                        });
    }

    private CompletionStage<Boolean> finish(
            StoreCommand command, ClaimHandle handle, Claim finished, int left) {
        return store.execute(command)
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Swapped) {
                                return CompletableFuture.completedStage(true);
                            }
                            if (!(result instanceof StoreResult.Unavailable)) {
                                return isStored(handle, finished);
                            }
                            return left > 1
                                    ? timer.later(
                                            FINISH_RETRY_MS,
                                            () -> finish(command, handle, finished, left - 1))
                                    : CompletableFuture.completedStage(false);
                        });
    }

    /** A conflict follows from an earlier delivery of the same write, or the claim has lapsed. */
    private CompletionStage<Boolean> isStored(ClaimHandle handle, Claim finished) {
        return reader.read(handle.storeKey())
                .thenApply(
                        result ->
                                result instanceof StoreResult.Found found
                                        && ClaimReader.read(found.value().text())
                                                .contains(finished));
    }

    /**
     * Gives the key back after a request that provably did not run. The delete is sent once: a
     * repeated delete that arrives late could meet a later claim, and a claim that stays is safe.
     */
    public CompletionStage<Boolean> release(ClaimHandle handle) {
        return store.execute(new StoreCommand.Delete(handle.storeKey(), handle.version()))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    private static StoreCommand swap(String storeKey, long version, Claim claim, long lease) {
        StoreValue value = StoreValue.ofText(ClaimWriter.write(claim));
        return new StoreCommand.CompareAndSwap(storeKey, version, value, lease);
    }

    private static ClaimResult granted(String storeKey, long version, Claim claim, long lease) {
        return new ClaimResult.Granted(new ClaimHandle(storeKey, version, lease, claim));
    }

    private static CompletionStage<ClaimResult> done(ClaimResult result) {
        return CompletableFuture.completedStage(result);
    }
}
