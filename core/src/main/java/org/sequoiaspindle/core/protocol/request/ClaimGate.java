package org.sequoiaspindle.core.protocol.request;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Keeps a request with a call that must not be repeated from running more than once under its
 * idempotency key. Thread-safe.
 */
@FunctionalInterface
public interface ClaimGate {

    /** Runs every request; for requests without such calls. */
    ClaimGate OPEN = (plan, run) -> run.get();

    /**
     * Runs the request if its key can be claimed, else answers for it.
     *
     * @param run runs the request; called at most once
     */
    CompletionStage<Answer> guard(RequestPlan plan, Supplier<CompletionStage<Answer>> run);
}
