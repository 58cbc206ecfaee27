package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.Consumer;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.Decision;

/**
 * A connection to a server that carries one request at a time. Confined to the event loop of the
 * channel.
 *
 * <p>A response without a length ends when the connection is closed; if the connection is reset,
 * the response has failed.
 */
public final class OutboundConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final String COMPLETED_BY_ANOTHER_RESPONSE =
            "response whose body contains the head of another one";

    private static final String TOO_MANY_DISCARDED_BYTES =
            "too many bytes of responses to other requests";

    private final Channel channel;
    private final StrictResponseDecoder decoder;
    private final ResponseBodySearch bodySearch = new ResponseBodySearch();
    private final Consumer<OutboundConnection> onFree;
    private final Consumer<OutboundConnection> onClosed;
    private final Consumer<Optional<HttpResponse>> onUnrequestedBytes;

    private ConnectionState state = ConnectionState.NEW;
    private ResponseListener listener;
    private ResponseListener completedListener;
    private Optional<String> nextRequestId = Optional.empty();
    private long idleLimitMillis;
    private long idleSince;

    private OutboundConnection(
            Channel channel,
            StrictResponseDecoder decoder,
            Consumer<OutboundConnection> onFree,
            Consumer<OutboundConnection> onClosed,
            Consumer<Optional<HttpResponse>> onUnrequestedBytes) {
        this.channel = channel;
        this.decoder = decoder;
        this.onFree = onFree;
        this.onClosed = onClosed;
        this.onUnrequestedBytes = onUnrequestedBytes;
    }

    /**
     * Adds the handlers of a connection to a channel.
     *
     * @param onFree called when the connection can carry another request
     * @param onClosed called once when the connection is closed
     * @param onUnrequestedBytes called when bytes arrive while no request is in progress, with the
     *     response head if they begin with one; the connection is then closed
     */
    static OutboundConnection install(
            Channel channel,
            Consumer<OutboundConnection> onFree,
            Consumer<OutboundConnection> onClosed,
            Consumer<Optional<HttpResponse>> onUnrequestedBytes) {
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        OutboundConnection connection =
                new OutboundConnection(channel, decoder, onFree, onClosed, onUnrequestedBytes);
        channel.pipeline().addLast(new HttpRequestEncoder()).addLast(decoder).addLast(connection);
        return connection;
    }

    /** Returns a short identifier of the connection for the log. */
    public String name() {
        return channel.id().asShortText();
    }

    /** Returns the number of requests that the connection has carried, with the current one. */
    public int carriedRequestCount() {
        return state.requests();
    }

    /** Sends a request with a complete body. */
    public void send(HttpRequest head, ByteBuf body, ResponseListener responseListener) {
        listener = responseListener;
        boolean isHead = head.method().equals(HttpMethod.HEAD);
        state = state.sent(nextRequestId, isHead);
        decoder.expectNoBody(isHead);
        nextRequestId = Optional.empty();
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
                            if (written.isSuccess()) {
                                state = state.written();
                            } else {
                                failAndClose("write failed: " + written.cause());
                            }
                        });
    }

    /** Cancels the request in progress: closes the connection without notifying the listener. */
    public void abort() {
        listener = null;
        completedListener = null;
        state = state.failed().next();
        channel.close();
    }

    /** Pauses or resumes reading, which limits the memory used for slow clients. */
    public void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /**
     * Decides to which request a response belongs.
     *
     * @param namedId identifier that the response names
     * @return {@code USE}, {@code DISCARD} or {@code FAIL}
     */
    public Decision ownerOf(Optional<String> namedId) {
        return state.ownerOf(namedId);
    }

    /** Records that the next request on the connection has the identifier. */
    void recordRequest(String requestId) {
        nextRequestId = Optional.of(requestId);
    }

    /** Returns whether the connection has carried a request with the identifier. */
    boolean hasCarried(String requestId) {
        return state.hasCarried(requestId);
    }

    boolean isUsable() {
        return channel.isActive() && state.isIdle();
    }

    /** Records the time of the last response. */
    void recordIdleSince(long now) {
        idleSince = now;
    }

    /** Returns the time of the last response, 0 if there was none. */
    long idleSince() {
        return idleSince;
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
            unrequestedReceived(
                    message instanceof HttpResponse head && message.decoderResult().isSuccess()
                            ? Optional.of(head)
                            : Optional.empty());
        } else if (message.decoderResult().isFailure()) {
            failAndClose("malformed response");
        } else {
            if (message instanceof HttpResponse response) {
                headReceived(response);
            }
            if (message instanceof HttpContent content && listener != null) {
                contentReceived(content);
            }
        }
    }

    private void unrequestedReceived(Optional<HttpResponse> head) {
        // Messages that were decoded before an aborted connection was closed are not reported.
        if (channel.isOpen()) {
            onUnrequestedBytes.accept(head);
        }
        state = state.unrequestedBytesReceived().next();
        channel.close();
    }

    /**
     * Frees the connection only now, because what follows a response in the same read cannot belong
     * to the next request. A part of a head leaves no message, and would become the beginning of
     * the next response.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ConnectionState.Phase phase = state.phase();
        ConnectionState.Transition transition = state.readEnded(decoder.isWithinResponse());
        if (transition.decision() == Decision.CLOSE && phase != ConnectionState.Phase.RETIRED) {
            unrequestedReceived(Optional.empty());
        }
        state = transition.next();
        if (phase == ConnectionState.Phase.COMPLETE && state.isIdle() && channel.isActive()) {
            channel.config().setAutoRead(true);
            onFree.accept(this);
        }
        endCompleted();
        ctx.fireChannelReadComplete();
    }

    /** Tells the listener of a complete response of its end. */
    private void endCompleted() {
        ResponseListener endedListener = completedListener;
        completedListener = null;
        if (endedListener != null) {
            endedListener.end();
        }
    }

    private void headReceived(HttpResponse response) {
        bodySearch.restart();
        if (ResponseHeads.containOther(response.headers())) {
            failAndClose("response head that contains another one");
            return;
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            // The decoder passes the bytes that follow on without decoding them.
            failAndClose("switch of the protocol, which was not requested");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            apply(state.interimHeadReceived(), TOO_MANY_DISCARDED_BYTES);
            return;
        }
        ConnectionState.BodyEnd bodyEnd = ResponseHeads.bodyEnd(response);
        if (bodyEnd == ConnectionState.BodyEnd.UNCLEAR) {
            failAndClose(
                    "response whose length is ambiguous or whose transfer coding is not supported");
            return;
        }
        idleLimitMillis = KeepAlive.idleLimitMillis(response);
        Decision owner = listener.head(response) ? Decision.USE : Decision.DISCARD;
        if (listener != null) {
            apply(
                    state.headReceived(owner, bodyEnd, HttpUtil.isKeepAlive(response)),
                    "response to another request that only ends with the connection");
        }
    }

    private void contentReceived(HttpContent content) {
        Decision decision =
                apply(
                        state.bodyReceived(content.content().readableBytes()),
                        TOO_MANY_DISCARDED_BYTES);
        // Also in a copy, whose missing body would otherwise hide the response to the request.
        if (decision != Decision.FAIL
                && bodySearch.findsOtherHead(content.content(), state::hasCarried)) {
            failAndClose(COMPLETED_BY_ANOTHER_RESPONSE);
            return;
        }
        if (decision == Decision.USE && content.content().isReadable()) {
            listener.content(content.content());
        }
        if (content instanceof LastHttpContent last && listener != null) {
            if (ResponseHeads.containOther(last.trailingHeaders())) {
                failAndClose("trailer that contains a response head");
                return;
            }
            responseEnded();
        }
    }

    private void responseEnded() {
        if (state.phase() == ConnectionState.Phase.DISCARDING) {
            apply(state.responseEnded(false), TOO_MANY_DISCARDED_BYTES);
            return;
        }
        // The response was cut off, and the next one completes its body.
        if (bodySearch.isContinuedBy(decoder.undecodedCharacters())) {
            failAndClose(COMPLETED_BY_ANOTHER_RESPONSE);
            return;
        }
        ConnectionState.Transition end = state.responseEnded(listener.isOwnResponse());
        state = end.next();
        completedListener = listener;
        listener = null;
        if (end.decision() == Decision.CLOSE) {
            channel.close();
            endCompleted();
        }
    }

    private Decision apply(ConnectionState.Transition transition, String reason) {
        state = transition.next();
        if (transition.decision() == Decision.FAIL) {
            failAndClose(reason);
        }
        return transition.decision();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endCompleted();
        fail("connection closed");
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failAndClose(String.valueOf(cause.getMessage()));
    }

    private void failAndClose(String reason) {
        endCompleted();
        fail(reason);
        channel.close();
    }

    private void fail(String reason) {
        ResponseListener failedListener = listener;
        listener = null;
        state = state.failed().next();
        if (failedListener != null) {
            failedListener.failed(reason);
        }
    }
}
