package org.sequoiaspindle.core.protocol.claim;

import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;

/** Claim mechanism under test: {@link ClaimService} or a faulty alternative. */
interface ClaimMechanism {
    CompletionStage<ClaimResult> claim(String organisation, String key, String digest);

    CompletionStage<Boolean> finish(HeldClaim handle, RecordedOutcome outcome);

    CompletionStage<Boolean> release(HeldClaim handle);

    /** Creates the mechanism for one process. */
    interface Factory {
        ClaimMechanism create(Store store, Timer timer, MillisClock wallClock, String instance);
    }

    static ClaimMechanism of(ClaimService keeper) {
        return new ClaimMechanism() {
            @Override
            public CompletionStage<ClaimResult> claim(
                    String organisation, String key, String digest) {
                return keeper.claim(organisation, key, digest);
            }

            @Override
            public CompletionStage<Boolean> finish(HeldClaim handle, RecordedOutcome outcome) {
                return keeper.finish(handle, outcome);
            }

            @Override
            public CompletionStage<Boolean> release(HeldClaim handle) {
                return keeper.release(handle);
            }
        };
    }
}
