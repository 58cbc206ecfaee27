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

/**
 * Netty handler that runs calls on one connection, one at a time. All state is confined to the
 * event loop of the connection. A call that fails or is cancelled before its whole response was
 * read closes the connection, so that no later call can read the rest of that response.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Below the idle timeout of common servers, 5 s or more, so that a call is not sent while the
     * server closes the connection.
     */
    private static final long IDLE_TIMEOUT_MS = 4000;

    private static final String NOT_RUN_HEADER = "Sequoia-Not-Run";

    private final EndpointTimeouts timeouts;
    private final IdleConnectionPool idleConnections;
    private final String address;
    private Channel channel;
    private InFlightCall pending;
    private boolean answerStarted;
    private boolean informationalResponse;
    private boolean keepAlive;
    private long lastReadNanos;
    private Future<?> timeout;

    EndpointConnection(
            EndpointTimeouts timeouts, IdleConnectionPool idleConnections, String address) {
        this.timeouts = timeouts;
        this.idleConnections = idleConnections;
        this.address = address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a call. Must run on the event loop of an active connection that has no pending call.
     */
    void startCall(InFlightCall next, FullHttpRequest request) {
        detachCall();
        pending = next;
        answerStarted = false;
        informationalResponse = false;
        keepAlive = false;
        timeout = schedule(() -> checkTimeout(next), timeouts.firstByteMillis());
        channel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                abort(next, "the call could not be written");
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
    void abort(InFlightCall aborted, String reason) {
        if (pending != aborted) {
            return;
        }
        CallResult result = aborted.reader().incompleteResult(reason);
        detachCall();
        channel.close();
        aborted.end(result);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (pending == null) {
            channel.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (!message.decoderResult().isSuccess()) {
            abort(pending, "malformed HTTP response");
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && pending != null && !informationalResponse) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        informationalResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informationalResponse) {
            return;
        }
        answerStarted = true;
        keepAlive = HttpUtil.isKeepAlive(response);
        String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean notRun = "true".equalsIgnoreCase(response.headers().get(NOT_RUN_HEADER));
        endCallIfResult(pending.reader().readHead(response.status().code(), notRun, contentType));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            if (pending.hasEnded()) {
                abort(pending, "bytes after the end event");
                return;
            }
            endCallIfResult(pending.reader().readBody(ByteBufUtil.getBytes(content.content())));
        }
        if (pending == null || !last) {
            return;
        }
        InFlightCall ended = pending;
        detachCall();
        CallResult result = ended.hasEnded() ? null : ended.reader().endOfBody();
        if (keepAlive && !(result instanceof CallResult.Unknown)) {
            returnToPool();
        } else {
            channel.close();
        }
        if (result != null) {
            ended.end(result);
        }
    }

    /**
     * Ends the call if its result is known. A completed stream keeps its connection until the last
     * chunk arrives; with any other result the connection is closed.
     */
    private void endCallIfResult(Option<CallResult> result) {
        if (result.isEmpty()) {
            return;
        }
        InFlightCall ended = pending;
        if (!(result.get() instanceof CallResult.Completed)) {
            detachCall();
            channel.close();
        }
        ended.end(result.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idleConnections.remove(address, channel);
        if (pending != null) {
            abort(pending, "connection closed before the end of the answer");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (pending != null) {
            abort(pending, "connection failed: " + cause);
        }
        context.close();
    }

    private Future<?> schedule(Runnable task, long delayMillis) {
        return channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkTimeout(InFlightCall timedCall) {
        if (pending != timedCall) {
            return;
        }
        if (!answerStarted) {
            // The idle connections to the endpoint may be dead for the same reason; a retry on
            // one of them would run into the timeout again.
            idleConnections.closeAll(address);
            abort(timedCall, "no answer within " + timeouts.firstByteMillis() + " ms");
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
        pending = null;
    }
}
