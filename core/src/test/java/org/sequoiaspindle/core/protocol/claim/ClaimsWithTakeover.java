package org.sequoiaspindle.core.protocol.claim;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.claim.Claim;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Faulty alternative to {@link ClaimService}: an attempt takes over an unfinished claim that is
 * older than five seconds.
 */
final class ClaimsWithTakeover implements ClaimMechanism {
    private static final long TAKEOVER_MS = 5_000;

    private final Store store;
    private final MillisClock clock;

    ClaimsWithTakeover(Store store, MillisClock clock) {
        this.store = store;
        this.clock = clock;
    }

    @Override
    public CompletionStage<ClaimResult> claim(String organisation, String key, String digest) {
        String storeKey = ClaimKeys.of(organisation, key);
        return store.execute(new StoreCommand.Read(storeKey))
                .thenCompose(
                        result -> {
                            if (result instanceof StoreResult.Unavailable unavailable) {
                                return completed(
                                        new ClaimResult.StoreUnavailable(unavailable.reason()));
                            }
                            if (!(result instanceof StoreResult.Found found)) {
                                return write(storeKey, StoreCommand.ABSENT, digest);
                            }
                            Claim claim = ClaimReader.read(found.value().text()).get();
                            Option<RecordedOutcome> recordedOutcome = claim.outcome();
                            if (recordedOutcome.isDefined()) {
                                return completed(new ClaimResult.Replay(recordedOutcome.get()));
                            }
                            boolean expired =
                                    clock.now() - Long.parseLong(claim.attempt()) > TAKEOVER_MS;
                            return expired
                                    ? write(storeKey, found.version(), digest)
                                    : completed(new ClaimResult.InUse());
                        });
    }

    private CompletionStage<ClaimResult> write(String storeKey, long version, String digest) {
        Claim claim = Claim.unfinished(Long.toString(clock.now()), digest);
        return store.execute(
                        new StoreCommand.CompareAndSwap(
                                storeKey, version, StoreValue.ofString(ClaimWriter.write(claim))))
                .thenApply(
                        result ->
                                result instanceof StoreResult.Swapped swapped
                                        ? new ClaimResult.Granted(
                                                new HeldClaim(
                                                        storeKey, swapped.version(), 0, claim))
                                        : new ClaimResult.StoreUnavailable(result.toString()));
    }

    @Override
    public CompletionStage<Boolean> finish(HeldClaim heldClaim, RecordedOutcome outcome) {
        String json = ClaimWriter.write(heldClaim.claim().withOutcome(outcome));
        return store.execute(
                        new StoreCommand.CompareAndSwap(
                                heldClaim.storeKey(),
                                heldClaim.version(),
                                StoreValue.ofString(json)))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    @Override
    public CompletionStage<Boolean> release(HeldClaim heldClaim) {
        return store.execute(new StoreCommand.Delete(heldClaim.storeKey(), heldClaim.version()))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    private static CompletionStage<ClaimResult> completed(ClaimResult result) {
        return CompletableFuture.completedStage(result);
    }
}
