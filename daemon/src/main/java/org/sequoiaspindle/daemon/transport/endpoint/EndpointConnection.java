package org.sequoiaspindle.daemon.transport.endpoint;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.transport.http.ResponseHeads;
import org.sequoiaspindle.daemon.transport.http.StrictResponseDecoder;

/**
 * Netty handler that runs calls on one connection, one at a time. All state is confined to the
 * event loop of the connection. A call that fails or is cancelled before the whole response was
 * read closes the connection, so that no later call can read the rest of that response.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Time after which an idle connection is closed. It is below the idle timeout of common
     * servers, 5 s or more, so that no call is sent while the server closes the connection.
     */
    private static final long IDLE_TIMEOUT_MS = 4000;

    private static final String NOT_RUN_HEADER = "Sequoia-Not-Run";

    private final EndpointTimeouts timeouts;
    private final IdleConnectionPool idleConnections;
    private final String address;
    private final StrictResponseDecoder decoder;
    private Channel channel;
    private InFlightCall pendingCall;
    private boolean responseStarted;
    private boolean informationalResponse;
    private boolean keepAlive;
    private long lastReadNanos;
    private Future<?> timeout;

    EndpointConnection(
            EndpointTimeouts timeouts,
            IdleConnectionPool idleConnections,
            String address,
            StrictResponseDecoder decoder) {
        this.timeouts = timeouts;
        this.idleConnections = idleConnections;
        this.address = address;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a call. Must run on the event loop of an active connection that has no pending call.
     */
    void startCall(InFlightCall nextCall, FullHttpRequest request) {
        detachCall();
        pendingCall = nextCall;
        responseStarted = false;
        informationalResponse = false;
        keepAlive = false;
        timeout = schedule(() -> checkTimeout(nextCall), timeouts.firstByteMillis());
        channel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                abort(nextCall, "the call could not be written");
                            }
                        });
    }

    /**
     * Returns the connection to the pool for later calls. Must run on the event loop of the
     * connection.
     */
    void returnToPool() {
        timeout =
                schedule(
                        () -> {
                            if (idleConnections.remove(address, channel)) {
                                channel.close();
                            }
                        },
                        IDLE_TIMEOUT_MS);
        idleConnections.add(address, channel);
    }

    /** Ends the call and closes the connection, if the call is still pending on it. */
    void abort(InFlightCall abortedCall, String reason) {
        if (pendingCall != abortedCall) {
            return;
        }
        CallResult result = abortedCall.reader().incompleteResult(reason);
        detachCall();
        channel.close();
        abortedCall.end(result);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (pendingCall == null) {
            channel.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (!message.decoderResult().isSuccess()) {
            abort(pendingCall, "malformed HTTP response");
            return;
        }
        if (message instanceof HttpResponse response) {
            if (ResponseHeads.containOther(response.headers())) {
                abort(pendingCall, "response head that contains another one");
                return;
            }
            readHead(response);
        }
        if (message instanceof HttpContent content
                && pendingCall != null
                && !informationalResponse) {
            readContent(content);
        }
    }

    /** A part of a head leaves no message, and would become the beginning of the next response. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (pendingCall == null && decoder.isWithinResponse()) {
            channel.close();
        }
        context.fireChannelReadComplete();
    }

    private void readHead(HttpResponse response) {
        informationalResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informationalResponse) {
            return;
        }
        responseStarted = true;
        keepAlive = HttpUtil.isKeepAlive(response);
        String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean notRun = "true".equalsIgnoreCase(response.headers().get(NOT_RUN_HEADER));
        endCallIfResult(
                pendingCall.reader().readHead(response.status().code(), notRun, contentType));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            if (pendingCall.hasEnded()) {
                abort(pendingCall, "bytes after the end event");
                return;
            }
            endCallIfResult(pendingCall.reader().readBody(ByteBufUtil.getBytes(content.content())));
        }
        if (pendingCall == null || !last) {
            return;
        }
        InFlightCall endedCall = pendingCall;
        detachCall();
        CallResult result = endedCall.hasEnded() ? null : endedCall.reader().endOfBody();
        if (keepAlive && !(result instanceof CallResult.Unknown)) {
            returnToPool();
        } else {
            channel.close();
        }
        if (result != null) {
            endedCall.end(result);
        }
    }

    /**
     * Ends the call if the result is defined. A completed stream keeps the connection until the
     * last chunk arrives; with any other result the connection is closed.
     */
    private void endCallIfResult(Option<CallResult> result) {
        if (result.isEmpty()) {
            return;
        }
        InFlightCall endedCall = pendingCall;
        if (!(result.get() instanceof CallResult.Completed)) {
            detachCall();
            channel.close();
        }
        endedCall.end(result.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idleConnections.remove(address, channel);
        if (pendingCall != null) {
            abort(pendingCall, "connection closed before the end of the response");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (pendingCall != null) {
            abort(pendingCall, "connection failed: " + cause);
        }
        context.close();
    }

    private Future<?> schedule(Runnable task, long delayMillis) {
        return channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkTimeout(InFlightCall timedCall) {
        if (pendingCall != timedCall) {
            return;
        }
        if (!responseStarted) {
            // The idle connections to the endpoint may be dead for the same reason; a retry on
            // one of them would run into the timeout again.
            idleConnections.closeAll(address);
            abort(timedCall, "no response within " + timeouts.firstByteMillis() + " ms");
            return;
        }
        long silentMillis = (System.nanoTime() - lastReadNanos) / 1_000_000;
        if (silentMillis >= timeouts.idleMillis()) {
            idleConnections.closeAll(address);
            abort(timedCall, "no data for " + timeouts.idleMillis() + " ms");
            return;
        }
        timeout = schedule(() -> checkTimeout(timedCall), timeouts.idleMillis() - silentMillis);
    }

    private void detachCall() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        pendingCall = null;
    }
}
