package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.sequoiaspindle.core.coordination.forwarding.StableHash;

/**
 * A connection to a server that carries one request at a time. Confined to the event loop of the
 * channel.
 *
 * <p>A response without a length ends when the connection is closed; if the connection is reset,
 * the response has failed.
 */
public final class OutboundConnection extends SimpleChannelInboundHandler<HttpObject> {

    /**
     * Number of identified requests after which a connection is not used again. It bounds the
     * memory for their identifiers.
     */
    private static final int MAX_IDENTIFIED_REQUESTS = 1_000;

    /**
     * Bytes of responses to other requests after which the connection is closed, because a faulty
     * server may send them without end. A head counts as {@link #HEAD_BYTES}.
     */
    private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

    private static final int HEAD_BYTES = 1_024;

    private final Channel channel;
    private final Consumer<OutboundConnection> onFree;
    private final Consumer<OutboundConnection> onClosed;
    private final Consumer<HttpObject> onUnrequestedBytes;

    /** Hashes of the identifiers of all requests that the connection has carried. */
    private final Set<Long> carriedRequests = new HashSet<>();

    private ResponseListener listener;
    private int requests;
    private boolean requestWritten;
    private boolean discardingResponse;
    private int discardedBytes;
    private boolean reusable;
    private long idleLimitMillis;

    /**
     * Wraps a connected channel.
     *
     * @param onFree called when the connection can carry another request
     * @param onClosed called once when the connection is closed
     * @param onUnrequestedBytes called with what arrives while no request is in progress
     */
    OutboundConnection(
            Channel channel,
            Consumer<OutboundConnection> onFree,
            Consumer<OutboundConnection> onClosed,
            Consumer<HttpObject> onUnrequestedBytes) {
        this.channel = channel;
        this.onFree = onFree;
        this.onClosed = onClosed;
        this.onUnrequestedBytes = onUnrequestedBytes;
    }

    /** Returns a short identifier of the connection for the log. */
    public String name() {
        return channel.id().asShortText();
    }

    /** Returns the number of requests that the connection has carried, with the current one. */
    public int carriedRequestCount() {
        return requests;
    }

    /** Sends a request with a complete body. */
    public void send(HttpRequest head, ByteBuf body, ResponseListener responseListener) {
        listener = responseListener;
        requests++;
        discardingResponse = false;
        discardedBytes = 0;
        requestWritten = false;
        channel.writeAndFlush(
                        new DefaultFullHttpRequest(
                                head.protocolVersion(),
                                head.method(),
                                head.uri(),
                                body,
                                head.headers(),
                                new DefaultHttpHeaders()))
                .addListener(
                        written -> {
                            requestWritten = written.isSuccess();
                            if (!written.isSuccess()) {
                                fail("write failed: " + written.cause());
                                channel.close();
                            }
                        });
    }

    /** Cancels the request in progress: closes the connection without notifying the listener. */
    public void abort() {
        listener = null;
        channel.close();
    }

    /** Pauses or resumes reading, which limits the memory used for slow clients. */
    public void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /**
     * Returns whether the connection has carried another request before the current one, so that a
     * late copy of an earlier response may still arrive.
     */
    public boolean isReused() {
        return requests > 1;
    }

    /** Records that the next request on the connection has the identifier. */
    void recordRequest(String requestId) {
        carriedRequests.add(StableHash.of(requestId));
    }

    /**
     * Returns whether the connection has carried a request with the identifier. Rarely also true
     * for another identifier with the same hash.
     */
    boolean hasCarried(String requestId) {
        return carriedRequests.contains(StableHash.of(requestId));
    }

    boolean isUsable() {
        return channel.isActive() && listener == null;
    }

    /**
     * Returns the time for which the connection may be idle before reuse is unsafe, in
     * milliseconds.
     */
    long idleLimitMillis() {
        return idleLimitMillis;
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (listener == null) {
            // Messages that were decoded before an aborted connection was closed are not reported.
            if (channel.isOpen()) {
                onUnrequestedBytes.accept(message);
            }
            channel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("malformed response");
            channel.close();
            return;
        }
        if (message instanceof HttpResponse response && !beginResponse(response)) {
            return;
        }
        if (message instanceof HttpContent content && !isDiscardedWithoutEnd(content)) {
            content(content);
        }
    }

    /** Counts discarded bytes, and closes the connection if there are too many of them. */
    private boolean isDiscardedWithoutEnd(HttpContent content) {
        if (!discardingResponse) {
            return false;
        }
        discardedBytes += content.content().readableBytes();
        discardedBytes += content instanceof LastHttpContent ? HEAD_BYTES : 0;
        if (discardedBytes <= MAX_DISCARDED_BYTES) {
            return false;
        }
        fail("too many bytes of responses to other requests");
        channel.close();
        return true;
    }

    /**
     * Processes a response head.
     *
     * @return false if the listener aborted the request
     */
    private boolean beginResponse(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            discardingResponse = true;
            return true;
        }
        if (MessageFraming.of(response) != MessageFraming.Result.CLEAR) {
            fail("response whose length is ambiguous or whose transfer coding is not supported");
            channel.close();
            return false;
        }
        reusable = HttpUtil.isKeepAlive(response) && hasDelimitedBody(response);
        idleLimitMillis = KeepAlive.idleLimitMillis(response);
        discardingResponse = !listener.head(response);
        return listener != null;
    }

    private void content(HttpContent content) {
        if (listener != null && !discardingResponse && content.content().isReadable()) {
            listener.content(content.content());
        }
        if (!(content instanceof LastHttpContent) || listener == null) {
            return;
        }
        if (discardingResponse) {
            discardingResponse = false;
            return;
        }
        ResponseListener completedListener = listener;
        boolean isOwnResponse = completedListener.isOwnResponse();
        listener = null;
        // A server that responds before it has read the whole body still expects the rest of it.
        if (isOwnResponse
                && reusable
                && requestWritten
                && carriedRequests.size() < MAX_IDENTIFIED_REQUESTS
                && channel.isActive()) {
            channel.config().setAutoRead(true);
            onFree.accept(this);
        } else {
            channel.close();
        }
        completedListener.end();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        channel.close();
    }

    private void fail(String reason) {
        ResponseListener failedListener = listener;
        listener = null;
        if (failedListener != null) {
            failedListener.failed(reason);
        }
    }

    private static boolean hasDelimitedBody(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }
}
