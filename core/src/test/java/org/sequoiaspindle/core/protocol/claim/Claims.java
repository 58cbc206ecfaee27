package org.sequoiaspindle.core.protocol.claim;

import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.store.Store;

/** The mechanism under test: the keeper or a naive one. */
interface Claims {
    CompletionStage<ClaimResult> claim(String organisation, String key, String digest);

    CompletionStage<Boolean> finish(ClaimHandle handle, RecordedOutcome outcome);

    CompletionStage<Boolean> release(ClaimHandle handle);

    /** Makes the mechanism for one process. */
    interface Maker {
        Claims make(Store store, Timer timer, MillisClock wallClock, String instance);
    }

    static Claims of(ClaimKeeper keeper) {
        return new Claims() {
            @Override
            public CompletionStage<ClaimResult> claim(
                    String organisation, String key, String digest) {
                return keeper.claim(organisation, key, digest);
            }

            @Override
            public CompletionStage<Boolean> finish(ClaimHandle handle, RecordedOutcome outcome) {
                return keeper.finish(handle, outcome);
            }

            @Override
            public CompletionStage<Boolean> release(ClaimHandle handle) {
                return keeper.release(handle);
            }
        };
    }
}
