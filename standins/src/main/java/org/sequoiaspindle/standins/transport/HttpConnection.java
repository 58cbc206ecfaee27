package org.sequoiaspindle.standins.transport;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import org.sequoiaspindle.standins.protocol.HttpCall;
import org.sequoiaspindle.standins.protocol.HttpHandler;
import org.sequoiaspindle.standins.protocol.HttpReply;
import org.sequoiaspindle.standins.state.Content;

/** Serves the requests of one connection one after the other. Confined to its event loop. */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private record Pending(HttpCall call, boolean keepAlive) {}

    private final HttpHandler handler;
    private final Queue<Pending> pending = new ArrayDeque<>();
    private NettyExchange active;

    HttpConnection(HttpHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            context.close();
            return;
        }
        pending.add(new Pending(callOf(request), HttpUtil.isKeepAlive(request)));
        if (active == null) {
            serveNext(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pending.clear();
        if (active != null) {
            active.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset by the caller is an ordinary end of a connection here.
        context.close();
    }

    private void serveNext(ChannelHandlerContext context) {
        Pending next = pending.poll();
        if (next == null) {
            return;
        }
        NettyExchange exchange =
                new NettyExchange(context.channel(), next.keepAlive, () -> ended(context));
        active = exchange;
        try {
            handler.handle(next.call, exchange);
        } catch (IllegalArgumentException e) {
            exchange.answer(HttpReply.error(400, String.valueOf(e.getMessage())));
        } catch (RuntimeException e) {
            exchange.answer(HttpReply.error(500, e.toString()));
        }
    }

    private void ended(ChannelHandlerContext context) {
        active = null;
        // A task of its own keeps the stack flat when many requests were pipelined.
        context.channel().eventLoop().execute(() -> continueIdle(context));
    }

    private void continueIdle(ChannelHandlerContext context) {
        if (active == null && context.channel().isActive()) {
            serveNext(context);
        }
    }

    private static HttpCall callOf(FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        Map<String, String> query = new HashMap<>();
        uri.parameters().forEach((name, values) -> query.put(name, values.get(0)));
        Map<String, String> headers = new HashMap<>();
        request.headers()
                .forEach(
                        header ->
                                headers.putIfAbsent(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue()));
        return new HttpCall(
                request.method().name(),
                uri.path(),
                query,
                headers,
                Content.of(ByteBufUtil.getBytes(request.content())));
    }
}
