package org.sequoiaspindle.daemon.transport.endpoint;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.daemon.protocol.endpoint.EndpointAnswerReader;

/** One call with its result; knows whether a byte of it may have left this process. */
final class PendingCall {

    /** Set in place of a connection once the call has ended without one. */
    private static final Object ENDED_UNSENT = new Object();

    private final EndpointCall call;
    private final EndpointAnswerReader reader;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final AtomicReference<Object> channelOrEnded = new AtomicReference<>();

    PendingCall(EndpointCall call, TokenSink sink) {
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

    /** Claims the right to write; false if the call was given up before. */
    boolean tryStartSending(Channel channel) {
        return channelOrEnded.compareAndSet(null, channel);
    }

    /** Ends the call if nothing was written. */
    boolean tryEndBeforeSending(String reason) {
        boolean ended = channelOrEnded.compareAndSet(null, ENDED_UNSENT);
        if (ended) {
            result.complete(new CallResult.NotSent(reason));
        }
        return ended;
    }

    /** Ends the call; later verdicts are ignored. */
    void end(CallResult verdict) {
        result.complete(verdict);
    }

    boolean hasEnded() {
        return result.isDone();
    }

    /** Gives up the call and closes its connection; does nothing once the call has ended. */
    void cancel() {
        if (tryEndBeforeSending("cancelled before sending") || hasEnded()) {
            return;
        }
        if (channelOrEnded.get() instanceof Channel channel) {
            channel.eventLoop().execute(() -> abortOn(channel));
        }
    }

    /** A closed channel has lost its handlers; nothing can answer the call on it any more. */
    private void abortOn(Channel channel) {
        EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
        if (connection == null) {
            end(new CallResult.Unknown("the connection is closed"));
            return;
        }
        connection.abort(this, "cancelled");
    }
}
