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
import org.sequoiaspindle.core.coordination.claim.KeyValidity;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Claims idempotency keys in the platform's store, so that a request with a key is executed at most
 * once across all instances. Thread-safe; no returned {@code CompletionStage} completes
 * exceptionally.
 */
public final class ClaimService {
    /**
     * Attempts to read a claim back after a write without response; more would exceed most
     * deadlines.
     */
    private static final int READ_BACK_ATTEMPTS = 2;

    private static final int FINISH_ATTEMPTS = 8;
    private static final long FINISH_RETRY_MS = 1_000;

    private final Store store;
    private final StoreReader reader;
    private final Timer timer;
    private final MillisClock wallClock;
    private final Supplier<String> attemptIds;
    private final LeaseCache leases;
    private final EventLog events;

    /**
     * @param wallClock clock for the age of idempotency keys
     * @param monotonicClock clock for the age of leases
     * @param attemptIds supplies a globally unique value for each attempt, made of the instance id
     *     and a nonce that does not repeat after a restart
     */
    public ClaimService(
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
        this.leases = new LeaseCache(store, monotonicClock);
        this.events = events;
    }

    /**
     * Claims a key. The returned {@code CompletionStage} may complete after the deadline of the
     * request; the caller must then release the claim.
     *
     * @param digest digest of the pipeline and the input of the request
     */
    public CompletionStage<ClaimResult> claim(String organisation, String key, String digest) {
        KeyValidity validity = KeyRule.validity(key, wallClock.now());
        if (validity == KeyValidity.MALFORMED) {
            return completed(new ClaimResult.Malformed());
        }
        if (validity == KeyValidity.EXPIRED) {
            return completed(new ClaimResult.Expired());
        }
        Claim claim = Claim.unfinished(attemptIds.get(), digest);
        String storeKey = ClaimKeys.of(organisation, key);
        return leases.lease()
                .thenCompose(
                        lease ->
                                lease.fold(
                                        reason ->
                                                completed(new ClaimResult.StoreUnavailable(reason)),
                                        id -> writeClaim(storeKey, claim, id)));
    }

    private CompletionStage<ClaimResult> writeClaim(String storeKey, Claim claim, long lease) {
        return store.execute(compareAndSwap(storeKey, StoreCommand.ABSENT, claim, lease))
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Swapped swapped) {
                                return completed(
                                        granted(storeKey, swapped.version(), claim, lease));
                            }
                            if (result instanceof StoreResult.Unavailable) {
                                leases.discard(lease);
                            }
                            return readBack(storeKey, claim, lease);
                        });
    }

    /**
     * A missing claim is not created again: the first write may still be in flight, and the caller
     * may repeat the request.
     */
    private CompletionStage<ClaimResult> readBack(String storeKey, Claim claim, long lease) {
        return reader.read(storeKey)
                .thenApply(
                        result ->
                                result instanceof StoreResult.Found found
                                        ? resultOf(storeKey, claim, lease, found)
                                        : new ClaimResult.StoreUnavailable(
                                                "the claim could not be read back: " + result));
    }

    private ClaimResult resultOf(
            String storeKey, Claim claim, long lease, StoreResult.Found found) {
        Either<String, Claim> storedClaim = ClaimReader.read(found.value().text());
        if (storedClaim.isLeft()) {
            return new ClaimResult.InUse();
        }
        ClaimVerdict verdict = ClaimVerdict.of(storedClaim.get(), claim);
        if (verdict instanceof ClaimVerdict.SameAttempt) {
            return granted(storeKey, found.version(), claim, lease);
        }
        if (verdict instanceof ClaimVerdict.Finished finished) {
            return new ClaimResult.Replay(finished.outcome());
        }
        return verdict instanceof ClaimVerdict.OtherRequest
                ? new ClaimResult.DigestMismatch()
                : new ClaimResult.InUse();
    }

    /**
     * Records the outcome of a request, with a limited number of retries in the background. The
     * returned {@code CompletionStage} completes with true if the outcome was recorded. If it was
     * not recorded, repeats of the request get an unknown outcome.
     */
    public CompletionStage<Boolean> finish(HeldClaim heldClaim, RecordedOutcome outcome) {
        Claim finishedClaim = heldClaim.claim().withOutcome(outcome);
        StoreCommand command =
                compareAndSwap(
                        heldClaim.storeKey(),
                        heldClaim.version(),
                        finishedClaim,
                        heldClaim.lease());
        return finish(command, heldClaim, finishedClaim, FINISH_ATTEMPTS)
                .thenApply(
                        recorded -> {
                            if (!recorded) {
                                events.record(
                                        LogEvent.CLAIM_UNFINISHED,
                                        HashMap.of("claim", heldClaim.storeKey()));
                            }
                            return recorded;
                        });
    }

    private CompletionStage<Boolean> finish(
            StoreCommand command, HeldClaim heldClaim, Claim finishedClaim, int attemptsLeft) {
        return store.execute(command)
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Swapped) {
                                return CompletableFuture.completedStage(true);
                            }
                            if (!(result instanceof StoreResult.Unavailable)) {
                                return isStored(heldClaim, finishedClaim);
                            }
                            return attemptsLeft > 1
                                    ? timer.callAfter(
                                            FINISH_RETRY_MS,
                                            () ->
                                                    finish(
                                                            command,
                                                            heldClaim,
                                                            finishedClaim,
                                                            attemptsLeft - 1))
                                    : CompletableFuture.completedStage(false);
                        });
    }

    /**
     * A conflict means that an earlier delivery of the same write succeeded or that the claim was
     * removed with its lease; reading the claim shows which of the two happened.
     */
    private CompletionStage<Boolean> isStored(HeldClaim heldClaim, Claim finishedClaim) {
        return reader.read(heldClaim.storeKey())
                .thenApply(
                        result ->
                                result instanceof StoreResult.Found found
                                        && ClaimReader.read(found.value().text())
                                                .contains(finishedClaim));
    }

    /**
     * Releases the key after a request that was certainly not executed. The delete is sent only
     * once: a repeated delete that arrives late could remove a later claim, whereas a claim that
     * remains does no harm.
     */
    public CompletionStage<Boolean> release(HeldClaim heldClaim) {
        return store.execute(new StoreCommand.Delete(heldClaim.storeKey(), heldClaim.version()))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    private static StoreCommand compareAndSwap(
            String storeKey, long version, Claim claim, long lease) {
        StoreValue value = StoreValue.ofString(ClaimWriter.write(claim));
        return new StoreCommand.CompareAndSwap(storeKey, version, value, lease);
    }

    private static ClaimResult granted(String storeKey, long version, Claim claim, long lease) {
        return new ClaimResult.Granted(new HeldClaim(storeKey, version, lease, claim));
    }

    private static CompletionStage<ClaimResult> completed(ClaimResult result) {
        return CompletableFuture.completedStage(result);
    }
}
