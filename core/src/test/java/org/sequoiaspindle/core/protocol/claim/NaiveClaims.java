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

/** Claims with a lease of five seconds: an unfinished claim that is older is taken over. */
final class NaiveClaims implements Claims {
    private static final long TAKEOVER_MS = 5_000;

    private final Store store;
    private final MillisClock clock;

    NaiveClaims(Store store, MillisClock clock) {
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
                                return done(new ClaimResult.StoreUnavailable(unavailable.reason()));
                            }
                            if (!(result instanceof StoreResult.Found found)) {
                                return write(storeKey, StoreCommand.ABSENT, digest);
                            }
                            Claim claim = ClaimReader.read(found.value().text()).get();
                            Option<RecordedOutcome> ended = claim.outcome();
                            if (ended.isDefined()) {
                                return done(new ClaimResult.Replay(ended.get()));
                            }
                            boolean lapsed =
                                    clock.now() - Long.parseLong(claim.attempt()) > TAKEOVER_MS;
                            return lapsed
                                    ? write(storeKey, found.version(), digest)
                                    : done(new ClaimResult.InUse());
                        });
    }

    private CompletionStage<ClaimResult> write(String storeKey, long version, String digest) {
        Claim claim = Claim.begun(Long.toString(clock.now()), digest);
        return store.execute(
                        new StoreCommand.CompareAndSwap(
                                storeKey, version, StoreValue.ofText(ClaimWriter.write(claim))))
                .thenApply(
                        result ->
                                result instanceof StoreResult.Swapped swapped
                                        ? new ClaimResult.Granted(
                                                new ClaimHandle(
                                                        storeKey, swapped.version(), 0, claim))
                                        : new ClaimResult.StoreUnavailable(result.toString()));
    }

    @Override
    public CompletionStage<Boolean> finish(ClaimHandle handle, RecordedOutcome outcome) {
        String text = ClaimWriter.write(handle.claim().finished(outcome));
        return store.execute(
                        new StoreCommand.CompareAndSwap(
                                handle.storeKey(), handle.version(), StoreValue.ofText(text)))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    @Override
    public CompletionStage<Boolean> release(ClaimHandle handle) {
        return store.execute(new StoreCommand.Delete(handle.storeKey(), handle.version()))
                .thenApply(StoreResult.Swapped.class::isInstance);
    }

    private static CompletionStage<ClaimResult> done(ClaimResult result) {
        return CompletableFuture.completedStage(result);
    }
}
