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
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.protocol.HttpReply;
import org.sequoiaspindle.standins.protocol.HttpResponder;

/**
 * Responder on a Netty channel. Its methods may be called from any thread; actions run in the order
 * of the calls.
 */
final class NettyResponder implements HttpResponder {

    private final Channel channel;
    private final boolean keepAlive;
    private final Runnable onAnswerEnd;
    // These fields are confined to the event loop of the channel.
    private boolean ended;
    private Runnable onDisconnect = () -> {};

    NettyResponder(Channel channel, boolean keepAlive, Runnable onAnswerEnd) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.onAnswerEnd = onAnswerEnd;
    }

    @Override
    public void answer(HttpReply reply) {
        runOnEventLoop(() -> finish(channel.writeAndFlush(fullResponse(reply))));
    }

    @Override
    public void answerTruncated(HttpReply reply) {
        runOnEventLoop(
                () -> {
                    byte[] body = reply.body().toBytes();
                    HttpResponse head =
                            new DefaultHttpResponse(HttpVersion.HTTP_1_1, status(reply));
                    setHeaders(head, reply);
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
        String text = "event: " + name + "\ndata: " + data + "\n\n";
        runOnEventLoop(
                () ->
                        channel.writeAndFlush(
                                new DefaultHttpContent(
                                        Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))));
    }

    @Override
    public void endStream() {
        runOnEventLoop(() -> finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
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
            onAnswerEnd.run();
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private HttpResponse fullResponse(HttpReply reply) {
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status(reply),
                        Unpooled.wrappedBuffer(reply.body().toBytes()));
        setHeaders(response, reply);
        return response;
    }

    private void setHeaders(HttpResponse response, HttpReply reply) {
        reply.headers().forEach(response.headers()::set);
        if (reply.status() != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().size());
        }
        HttpUtil.setKeepAlive(response, keepAlive);
    }

    private static HttpResponseStatus status(HttpReply reply) {
        return HttpResponseStatus.valueOf(reply.status());
    }
}
