package org.sequoiaspindle.core.protocol.store;

import java.util.concurrent.CompletionStage;

/**
 * Client of the key-value service of the platform. Each command is one call of the service,
 * including a watch that waits for changes. Implementations are thread-safe and report every
 * failure as {@link StoreResult.Unavailable}; the returned future never completes exceptionally.
 */
@FunctionalInterface
public interface Store {

    CompletionStage<StoreResult> execute(StoreCommand command);
}
