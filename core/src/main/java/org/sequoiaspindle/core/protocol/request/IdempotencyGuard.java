package org.sequoiaspindle.core.protocol.request;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Ensures that a request with a non-idempotent stage runs at most once under its idempotency key.
 * Thread-safe.
 */
@FunctionalInterface
public interface IdempotencyGuard {

    /** Runs every request without claiming its key. */
    IdempotencyGuard NONE = (plan, run) -> run.get();

    /**
     * Runs the request if its key can be claimed; otherwise returns an answer without running the
     * request.
     *
     * @param run runs the request; called at most once
     */
    CompletionStage<Answer> runOnce(RequestPlan plan, Supplier<CompletionStage<Answer>> run);
}
