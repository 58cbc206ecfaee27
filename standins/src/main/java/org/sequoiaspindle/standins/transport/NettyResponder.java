package org.sequoiaspindle.standins.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.protocol.FullResponse;
import org.sequoiaspindle.standins.protocol.HttpResponder;

/**
 * Responder on a Netty channel. The methods may be called from any thread; calls from one thread
 * take effect in order.
 */
final class NettyResponder implements HttpResponder {

    private final Channel channel;
    private final boolean keepAlive;
    private final Runnable onResponseEnd;
    private final Consumer<HttpResponse> unrequestedResponses;
    // The fields started, ended and onDisconnect are confined to the event loop of the channel.
    private boolean started;
    private boolean ended;
    private Runnable onDisconnect = () -> {};

    /**
     * Creates a responder to one request.
     *
     * @param onResponseEnd called when the next request can be served
     * @param unrequestedResponses sends responses between the others on the connection
     */
    NettyResponder(
            Channel channel,
            boolean keepAlive,
            Runnable onResponseEnd,
            Consumer<HttpResponse> unrequestedResponses) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.onResponseEnd = onResponseEnd;
        this.unrequestedResponses = unrequestedResponses;
    }

    @Override
    public void send(FullResponse response) {
        runOnEventLoop(() -> finish(channel.writeAndFlush(fullResponse(response))));
    }

    @Override
    public void sendTruncated(FullResponse response) {
        runOnEventLoop(
                () -> {
                    byte[] body = response.body().toBytes();
                    HttpResponse head =
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, status(response));
                    setHeaders(head, response);
                    channel.write(head);
                    ByteBuf half = Unpooled.wrappedBuffer(body, 0, body.length / 2);
                    channel.writeAndFlush(new DefaultHttpContent(half))
                            .addListener(ChannelFutureListener.CLOSE);
                    ended = true;
                });
    }

    @Override
    public void startStream(Map<String, String> headers) {
        runOnEventLoop(
                () -> {
                    started = true;
                    HttpResponse head =
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                    head.headers()
                            .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                            .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
                    headers.forEach(head.headers()::set);
                    HttpUtil.setTransferEncodingChunked(head, true);
                    HttpUtil.setKeepAlive(head, keepAlive);
                    channel.write(head);
                });
    }

    @Override
    public void sendEvent(String name, String data) {
        String event = "event: " + name + "\ndata: " + data + "\n\n";
        runOnEventLoop(
                () ->
                        channel.writeAndFlush(
                                new DefaultHttpContent(
                                        Unpooled.copiedBuffer(event, StandardCharsets.UTF_8))));
    }

    @Override
    public void endStream() {
        runOnEventLoop(() -> finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    @Override
    public void sendUnrequested(FullResponse response) {
        channel.eventLoop().execute(() -> unrequestedResponses.accept(fullResponse(response)));
    }

    /** Returns whether the response has begun and not ended. Called on the event loop. */
    boolean isWithinResponse() {
        return started && !ended;
    }

    @Override
    public void disconnect() {
        runOnEventLoop(
                () -> {
                    ended = true;
                    channel.close();
                });
    }

    @Override
    public void onDisconnect(Runnable action) {
        runOnEventLoop(() -> onDisconnect = action);
    }

    @Override
    public ActionScheduler scheduler() {
        return EventLoops.scheduler(channel.eventLoop());
    }

    /** Called on the event loop when the connection has closed. */
    void onConnectionClosed() {
        if (!ended) {
            ended = true;
            onDisconnect.run();
        }
    }

    private void runOnEventLoop(Runnable action) {
        if (!channel.eventLoop().inEventLoop()) {
            channel.eventLoop().execute(() -> runOnEventLoop(action));
            return;
        }
        if (!ended) {
            action.run();
        }
    }

    private void finish(ChannelFuture written) {
        ended = true;
        if (keepAlive) {
            onResponseEnd.run();
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private HttpResponse fullResponse(FullResponse response) {
        HttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status(response),
                        Unpooled.wrappedBuffer(response.body().toBytes()));
        setHeaders(message, response);
        return message;
    }

    private void setHeaders(HttpResponse message, FullResponse response) {
        response.headers().forEach(message.headers()::set);
        if (response.status() != HttpResponseStatus.NO_CONTENT.code()) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().size());
        }
        HttpUtil.setKeepAlive(message, keepAlive);
    }

    private static HttpResponseStatus status(FullResponse response) {
        return HttpResponseStatus.valueOf(response.status());
    }
}
