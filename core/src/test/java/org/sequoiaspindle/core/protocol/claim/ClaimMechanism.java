package org.sequoiaspindle.core.protocol.claim;

import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;

/** Claim mechanism under test: {@link ClaimService} or a faulty alternative. */
interface ClaimMechanism {
    CompletionStage<ClaimResult> claim(String organisation, String key, String digest);

    CompletionStage<Boolean> finish(HeldClaim heldClaim, RecordedOutcome outcome);

    CompletionStage<Boolean> release(HeldClaim heldClaim);

    /** Creates the mechanism for one process. */
    interface Factory {
        ClaimMechanism create(Store store, Timer timer, MillisClock wallClock, String instance);
    }

    static ClaimMechanism of(ClaimService claimService) {
        return new ClaimMechanism() {
            @Override
            public CompletionStage<ClaimResult> claim(
                    String organisation, String key, String digest) {
                return claimService.claim(organisation, key, digest);
            }

            @Override
            public CompletionStage<Boolean> finish(HeldClaim heldClaim, RecordedOutcome outcome) {
                return claimService.finish(heldClaim, outcome);
            }

            @Override
            public CompletionStage<Boolean> release(HeldClaim heldClaim) {
                return claimService.release(heldClaim);
            }
        };
    }
}
