package org.sequoiaspindle.core.protocol.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;

/** Reads keys and retries reads that got no response, up to a maximum number of attempts. */
public final class StoreReader {
    /** Default number of attempts for one read. Four attempts cover a brief loss of connection. */
    public static final int DEFAULT_ATTEMPTS = 4;

    /** Delay between two attempts, in milliseconds. */
    public static final long RETRY_DELAY_MS = 200;

    private final Store store;
    private final Timer timer;
    private final int maxAttempts;

    public StoreReader(Store store, Timer timer) {
        this(store, timer, DEFAULT_ATTEMPTS);
    }

    public StoreReader(Store store, Timer timer, int maxAttempts) {
        this.store = store;
        this.timer = timer;
        this.maxAttempts = maxAttempts;
    }

    /** Reads a key. The result is {@link StoreResult.Unavailable} only if every attempt failed. */
    public CompletionStage<StoreResult> read(String key) {
        return readWithRetries(new StoreCommand.Read(key), maxAttempts);
    }

    private CompletionStage<StoreResult> readWithRetries(
            StoreCommand.Read command, int attemptsLeft) {
        return store.execute(command)
                .thenCompose(
                        result ->
                                result instanceof StoreResult.Unavailable && attemptsLeft > 1
                                        ? timer.callAfter(
                                                RETRY_DELAY_MS,
                                                () -> readWithRetries(command, attemptsLeft - 1))
                                        : CompletableFuture.completedStage(result));
    }
}
