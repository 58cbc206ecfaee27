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
import org.sequoiaspindle.daemon.state.EndpointLimits;

/**
 * Runs calls on one connection, one after the other. All state is confined to the event loop of the
 * connection. Whatever ends a call early also closes the connection, so that no later call can read
 * the rest of its answer.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Servers commonly close idle connections after 5 s or more; a call must not race with it. */
    private static final long MAX_IDLE_MS = 4000;

    private static final String NOT_RUN = "Sequoia-Not-Run";

    private final EndpointLimits limits;
    private final IdleConnections idle;
    private final String address;
    private Channel channel;
    private EndpointAttempt attempt;
    private boolean answerStarted;
    private boolean informational;
    private boolean keepAlive;
    private long lastReadNanos;
    private Future<?> timer;

    EndpointConnection(EndpointLimits limits, IdleConnections idle, String address) {
        this.limits = limits;
        this.idle = idle;
        this.address = address;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /** Writes a call; runs on the event loop of an active connection without a call. */
    void start(EndpointAttempt next, FullHttpRequest request) {
        stop();
        attempt = next;
        answerStarted = false;
        informational = false;
        keepAlive = false;
        timer = schedule(() -> checkSilence(next), limits.firstByteMillis());
        channel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                abort(next, "the call could not be written");
                            }
                        });
    }

    /** Offers the connection to later calls; runs on its event loop. */
    void becomeIdle() {
        timer =
                schedule(
                        () -> {
                            if (idle.remove(address, channel)) {
                                channel.close();
                            }
                        },
                        MAX_IDLE_MS);
        idle.add(address, channel);
    }

    /** Ends the call if it is still running here, and closes the connection. */
    void abort(EndpointAttempt aborted, String reason) {
        if (attempt != aborted) {
            return;
        }
        CallResult verdict = aborted.reader().broken(reason);
        stop();
        channel.close();
        aborted.end(verdict);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (attempt == null) {
            channel.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (!message.decoderResult().isSuccess()) {
            abort(attempt, "malformed HTTP");
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && attempt != null && !informational) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        answerStarted = true;
        keepAlive = HttpUtil.isKeepAlive(response);
        String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        boolean notRun = "true".equalsIgnoreCase(response.headers().get(NOT_RUN));
        finishIfDefined(attempt.reader().head(response.status().code(), notRun, contentType));
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            if (attempt.hasEnded()) {
                abort(attempt, "bytes after the end event");
                return;
            }
            finishIfDefined(attempt.reader().body(ByteBufUtil.getBytes(content.content())));
        }
        if (attempt == null || !last) {
            return;
        }
        EndpointAttempt ended = attempt;
        stop();
        CallResult verdict = ended.hasEnded() ? null : ended.reader().end();
        if (keepAlive && !(verdict instanceof CallResult.Unknown)) {
            becomeIdle();
        } else {
            channel.close();
        }
        if (verdict != null) {
            ended.end(verdict);
        }
    }

    /** A complete stream keeps its connection until the last chunk arrives; others are closed. */
    private void finishIfDefined(Option<CallResult> result) {
        if (result.isEmpty()) {
            return;
        }
        EndpointAttempt ended = attempt;
        if (!(result.get() instanceof CallResult.Completed)) {
            stop();
            channel.close();
        }
        ended.end(result.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idle.remove(address, channel);
        if (attempt != null) {
            abort(attempt, "connection closed before the end of the answer");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (attempt != null) {
            abort(attempt, "connection failed: " + cause);
        }
        context.close();
    }

    private Future<?> schedule(Runnable task, long delayMillis) {
        return channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkSilence(EndpointAttempt watched) {
        if (attempt != watched) {
            return;
        }
        if (!answerStarted) {
            // Whatever silenced this connection may have silenced the idle ones to the endpoint; a
            // retry on one of them would wait for the limit once more.
            idle.closeAll(address);
            abort(watched, "no answer within " + limits.firstByteMillis() + " ms");
            return;
        }
        long silentMillis = (System.nanoTime() - lastReadNanos) / 1_000_000;
        if (silentMillis >= limits.idleMillis()) {
            idle.closeAll(address);
            abort(watched, "silent for " + limits.idleMillis() + " ms");
            return;
        }
        timer = schedule(() -> checkSilence(watched), limits.idleMillis() - silentMillis);
    }

    private void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
        attempt = null;
    }
}
