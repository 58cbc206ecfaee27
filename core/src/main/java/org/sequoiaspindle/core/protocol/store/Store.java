package org.sequoiaspindle.core.protocol.store;

import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service. Each command counts as one call of the service, a waiting watch
 * included. Implementations are thread-safe and report every failure as {@link
 * StoreResult.Unavailable}; the stage never completes exceptionally.
 */
@FunctionalInterface
public interface Store {

    CompletionStage<StoreResult> execute(StoreCommand command);
}
