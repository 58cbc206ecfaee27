package org.sequoiaspindle.core.protocol.forwarding;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.coordination.forwarding.permit.SendPermit;
import org.sequoiaspindle.core.state.forwarding.Replica;

/** Supplies the permits that requests to cold replicas need. Implementations are thread-safe. */
public interface SendPermits {

    /** Supplies no permits, because no replica needs one. */
    SendPermits NONE =
            new SendPermits() {
                @Override
                public CompletionStage<Optional<SendPermit>> request(Replica replica) {
                    return CompletableFuture.completedFuture(Optional.empty());
                }

                @Override
                public boolean use(SendPermit permit) {
                    return false;
                }

                @Override
                public long millisUntilWarm(Replica replica) {
                    return 0;
                }
            };

    /** Asks for a permit; the result comes within a few milliseconds, empty if there is none. */
    CompletionStage<Optional<SendPermit>> request(Replica replica);

    /** Returns whether a request may be sent now under the permit, which is then used up. */
    boolean use(SendPermit permit);

    /** Returns the time until a replica needs no permits, 0 if it needs none now. */
    long millisUntilWarm(Replica replica);
}
