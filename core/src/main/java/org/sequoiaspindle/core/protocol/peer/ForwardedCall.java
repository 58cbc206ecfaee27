package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * A call that a peer runs for this instance. A verdict that comes from another thread while a token
 * is being delivered waits for the delivery, so that the sink is not called after the result.
 */
final class ForwardedCall {

    private final PeerSession session;
    private final TokenSink sink;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final AtomicReference<Phase> phase =
            new AtomicReference<>(new Phase(false, Option.none()));

    ForwardedCall(PeerSession session, TokenSink sink) {
        this.session = session;
        this.sink = sink;
    }

    private record Phase(boolean delivering, Option<CallResult> verdict) {}

    PeerSession session() {
        return session;
    }

    CompletionStage<CallResult> result() {
        return result;
    }

    /** Gives the sink a token; false if the call should be cancelled. One thread at a time. */
    boolean deliver(Token token) {
        Phase entered = phase.updateAndGet(p -> new Phase(p.verdict().isEmpty(), p.verdict()));
        if (!entered.delivering()) {
            return true;
        }
        boolean wanted = sink.accept(token);
        Phase left = phase.updateAndGet(p -> new Phase(false, p.verdict()));
        left.verdict().forEach(result::complete);
        return wanted;
    }

    /** Ends the call; only the first verdict counts. */
    void complete(CallResult verdict) {
        Phase before =
                phase.getAndUpdate(
                        p -> new Phase(p.delivering(), p.verdict().orElse(Option.of(verdict))));
        if (!before.delivering()) {
            result.complete(before.verdict().getOrElse(verdict));
        }
    }
}
