package org.sequoiaspindle.daemon.transport.endpoint;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.daemon.protocol.endpoint.EndpointAnswerReader;

/**
 * A call in progress and the result of the call. Records whether any byte of the call may have been
 * sent.
 */
final class InFlightCall {

    /** Value of {@code channelOrEnded} after the call has ended unsent. */
    private static final Object ENDED_UNSENT = new Object();

    private final EndpointCall call;
    private final EndpointAnswerReader reader;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final AtomicReference<Object> channelOrEnded = new AtomicReference<>();

    InFlightCall(EndpointCall call, TokenSink sink) {
        this.call = call;
        this.reader = new EndpointAnswerReader(call, sink);
    }

    EndpointCall call() {
        return call;
    }

    EndpointAnswerReader reader() {
        return reader;
    }

    CompletionStage<CallResult> result() {
        return result;
    }

    /** Marks the call as being sent on a channel; returns false if the call has already ended. */
    boolean tryStartSending(Channel channel) {
        return channelOrEnded.compareAndSet(null, channel);
    }

    /**
     * Ends the call as not sent, unless sending has started; returns true if this method ended the
     * call.
     */
    boolean tryEndBeforeSending(String reason) {
        boolean hasEndedUnsent = channelOrEnded.compareAndSet(null, ENDED_UNSENT);
        if (hasEndedUnsent) {
            result.complete(new CallResult.NotSent(reason));
        }
        return hasEndedUnsent;
    }

    /** Ends the call; any later result is ignored. */
    void end(CallResult callResult) {
        result.complete(callResult);
    }

    boolean hasEnded() {
        return result.isDone();
    }

    /** Cancels the call and closes its connection; does nothing if the call has ended. */
    void cancel() {
        if (tryEndBeforeSending("cancelled before sending") || hasEnded()) {
            return;
        }
        if (channelOrEnded.get() instanceof Channel channel) {
            channel.eventLoop().execute(() -> abortOn(channel));
        }
    }

    /**
     * Aborts the call on its channel. A closed channel has no handlers any more, so no response can
     * arrive on it.
     */
    private void abortOn(Channel channel) {
        EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
        if (connection == null) {
            end(new CallResult.Unknown("the connection is closed"));
            return;
        }
        connection.abort(this, "cancelled");
    }
}
