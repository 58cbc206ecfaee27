package org.sequoiaspindle.daemon.transport.forwarding.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Writes responses to a client's connection. Confined to the event loop of the connection. */
final class ClientResponseWriter {

    /**
     * Retry delay for lack of memory for request bodies, which becomes free after about the
     * duration of one request.
     */
    private static final String RETRY_AFTER_SECONDS = "0.5";

    /** Time for a client to read the response to an invalid request, in milliseconds. */
    private static final long CLOSE_DELAY_MS = 1_000;

    private final Channel channel;
    private final BooleanSupplier closesConnection;
    private final UnreadAnswers unread;
    private boolean closeAnnounced;

    /**
     * Creates a writer for a channel.
     *
     * @param closesConnection returns whether the connection is closed after the response to the
     *     current request
     * @param unread counts what is written
     */
    ClientResponseWriter(Channel channel, BooleanSupplier closesConnection, UnreadAnswers unread) {
        this.channel = channel;
        this.closesConnection = closesConnection;
        this.unread = unread;
    }

    /**
     * Writes a complete response.
     *
     * @return true if the connection must be closed afterwards
     */
    boolean writeComplete(HttpRequest request, int status, HttpHeaders fields, ByteBuf content) {
        boolean isHead = request.method().equals(HttpMethod.HEAD);
        fields.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        boolean closeAfterResponse = shouldClose(request);
        setConnectionHeader(request, fields, closeAfterResponse);
        ByteBuf body = isHead ? Unpooled.EMPTY_BUFFER : content;
        int length = body.readableBytes();
        ChannelFuture written =
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.valueOf(status),
                                body,
                                fields,
                                new DefaultHttpHeaders()));
        unread.add(length, written);
        return closeAfterResponse;
    }

    /** Writes the head of a response of unknown length. */
    void beginStream(HttpRequest request, int status, HttpHeaders fields) {
        if (request.protocolVersion().isKeepAliveDefault()) {
            fields.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(request, fields, shouldClose(request));
        channel.write(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), fields));
    }

    /** Writes a part of the body of a started response. */
    void writePart(ByteBuf content) {
        int length = content.readableBytes();
        unread.add(length, channel.writeAndFlush(new DefaultHttpContent(content)));
    }

    /**
     * Completes a started response.
     *
     * @return true if the connection must be closed afterwards
     */
    boolean endStream(HttpRequest request) {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        return shouldClose(request) || !request.protocolVersion().isKeepAliveDefault();
    }

    /**
     * Writes an error response to an invalid request and closes the connection.
     *
     * @param explanation what is wrong with the request, or the limit that it exceeds
     */
    void rejectAndClose(int status, String explanation) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.copiedBuffer(explanation, StandardCharsets.UTF_8));
        if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(written -> closeAfterDelay());
    }

    /**
     * Closes the connection after a delay. Closing it at once while the client is still sending
     * would reset the connection, and the client would not receive the response.
     */
    private void closeAfterDelay() {
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private boolean shouldClose(HttpRequest request) {
        return closeAnnounced || !HttpUtil.isKeepAlive(request) || closesConnection.getAsBoolean();
    }

    private void setConnectionHeader(
            HttpRequest request, HttpHeaders fields, boolean closeAfterResponse) {
        if (closeAfterResponse) {
            closeAnnounced = true;
            fields.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (!request.protocolVersion().isKeepAliveDefault()) {
            fields.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
