package org.sequoiaspindle.core.protocol.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.Timer;

/** Reads keys and repeats a read that got no answer, up to a number of attempts. */
public final class StoreReader {
    /** Usual attempts of one read. Four attempts span a brief loss of connection. */
    public static final int ATTEMPTS = 4;

    /** TimedWait between two attempts, in milliseconds. */
    public static final long RETRY_DELAY_MS = 200;

    private final Store store;
    private final Timer timer;
    private final int attempts;

    public StoreReader(Store store, Timer timer) {
        this(store, timer, ATTEMPTS);
    }

    public StoreReader(Store store, Timer timer, int attempts) {
        this.store = store;
        this.timer = timer;
        this.attempts = attempts;
    }

    /** Result of the read; {@link StoreResult.Unavailable} only after the last attempt. */
    public CompletionStage<StoreResult> read(String key) {
        return attempt(new StoreCommand.Read(key), attempts);
    }

    private CompletionStage<StoreResult> attempt(StoreCommand.Read command, int left) {
        return store.execute(command)
                .thenCompose(
                        result ->
                                result instanceof StoreResult.Unavailable && left > 1
                                        ? timer.later(
                                                RETRY_DELAY_MS, () -> attempt(command, left - 1))
                                        : CompletableFuture.completedStage(result));
    }
}
