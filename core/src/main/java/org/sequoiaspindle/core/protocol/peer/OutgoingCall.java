package org.sequoiaspindle.core.protocol.peer;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/**
 * A call that a peer runs for this instance. A result that arrives on another thread while a token
 * is being delivered is kept until the delivery ends, so that the sink is never called after the
 * result.
 */
final class OutgoingCall {

    private final PeerSession session;
    private final TokenSink sink;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final AtomicReference<DeliveryState> deliveryState =
            new AtomicReference<>(new DeliveryState(false, Option.none()));

    OutgoingCall(PeerSession session, TokenSink sink) {
        this.session = session;
        this.sink = sink;
    }

    private record DeliveryState(boolean delivering, Option<CallResult> finalResult) {}

    PeerSession session() {
        return session;
    }

    CompletionStage<CallResult> result() {
        return result;
    }

    /**
     * Delivers a token to the sink. Returns false if the call should be cancelled. Called by one
     * thread at a time.
     */
    boolean deliver(Token token) {
        DeliveryState before =
                deliveryState.updateAndGet(
                        current ->
                                new DeliveryState(
                                        current.finalResult().isEmpty(), current.finalResult()));
        if (!before.delivering()) {
            return true;
        }
        boolean sinkAcceptsMore = sink.accept(token);
        DeliveryState after =
                deliveryState.updateAndGet(
                        current -> new DeliveryState(false, current.finalResult()));
        after.finalResult().forEach(result::complete);
        return sinkAcceptsMore;
    }

    /** Completes the call. Only the first result is used. */
    void complete(CallResult finalResult) {
        DeliveryState before =
                deliveryState.getAndUpdate(
                        current ->
                                new DeliveryState(
                                        current.delivering(),
                                        current.finalResult().orElse(Option.of(finalResult))));
        if (!before.delivering()) {
            result.complete(before.finalResult().getOrElse(finalResult));
        }
    }
}
