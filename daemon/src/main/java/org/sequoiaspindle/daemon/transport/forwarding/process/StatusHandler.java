package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

/** Serves status pages of the instance, with one supplier for each path. */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /**
     * A status page.
     *
     * @param body plain text
     */
    record Page(int status, String body) {}

    private final Map<String, Supplier<Page>> pages;

    StatusHandler(Map<String, Supplier<Page>> pages) {
        this.pages = Map.copyOf(pages);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        Supplier<Page> pageSupplier = pages.get(request.uri());
        Page page =
                pageSupplier == null
                        ? new Page(HttpResponseStatus.NOT_FOUND.code(), "")
                        : pageSupplier.get();
        ByteBuf content = Unpooled.copiedBuffer(page.body(), StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), content);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        var written = ctx.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
