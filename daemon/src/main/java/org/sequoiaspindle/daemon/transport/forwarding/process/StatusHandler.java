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
import org.sequoiaspindle.daemon.transport.forwarding.shared.ConnectionMemory;
import org.sequoiaspindle.daemon.transport.forwarding.shared.MemoryLedger;

/**
 * Serves status pages of the instance, with one supplier for each path. A client that sends
 * requests without reading the answers loses its connection.
 */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /**
     * A status page.
     *
     * @param body plain text
     */
    record Page(int status, String body) {}

    /** Progress that a request counts as; more than a client needs to keep its connection. */
    private static final long REQUEST_BYTES = 4_096;

    private final Map<String, Supplier<Page>> pages;
    private final MemoryLedger places;
    private ConnectionMemory memory;

    /**
     * Creates a handler for one connection.
     *
     * @param places admits the connections of the listener
     */
    StatusHandler(Map<String, Supplier<Page>> pages, MemoryLedger places) {
        this.pages = Map.copyOf(pages);
        this.places = places;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        memory = places.open(ctx.channel(), ctx.channel()::close);
        if (!memory.isAdmitted()) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (memory != null) {
            memory.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!ctx.channel().isWritable()) {
            ctx.close();
            return;
        }
        memory.progressed(REQUEST_BYTES);
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
