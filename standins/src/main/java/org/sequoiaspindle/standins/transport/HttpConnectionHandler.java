package org.sequoiaspindle.standins.transport;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import org.sequoiaspindle.standins.protocol.FullRequest;
import org.sequoiaspindle.standins.protocol.FullResponse;
import org.sequoiaspindle.standins.protocol.HttpHandler;
import org.sequoiaspindle.standins.state.ImmutableBytes;

/**
 * Serves the requests of one connection sequentially. Confined to the event loop of the connection.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private record QueuedRequest(FullRequest request, boolean keepAlive) {}

    private final HttpHandler handler;
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final Queue<HttpResponse> unrequestedResponses = new ArrayDeque<>();
    private NettyResponder currentResponder;

    HttpConnectionHandler(HttpHandler handler) {
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            context.close();
            return;
        }
        queue.add(new QueuedRequest(toFullRequest(request), HttpUtil.isKeepAlive(request)));
        if (currentResponder == null) {
            serveNext(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        queue.clear();
        if (currentResponder != null) {
            currentResponder.onConnectionClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A client may reset the connection at any time, which is not an error of the stand-in.
        context.close();
    }

    private void serveNext(ChannelHandlerContext context) {
        QueuedRequest next = queue.poll();
        if (next == null) {
            return;
        }
        NettyResponder responder =
                new NettyResponder(
                        context.channel(),
                        next.keepAlive,
                        () -> onResponseEnd(context),
                        response -> sendBetweenResponses(context, response));
        currentResponder = responder;
        try {
            handler.handle(next.request, responder);
        } catch (IllegalArgumentException e) {
            responder.send(FullResponse.error(400, String.valueOf(e.getMessage())));
        } catch (RuntimeException e) {
            responder.send(FullResponse.error(500, e.toString()));
        }
    }

    private void sendBetweenResponses(ChannelHandlerContext context, HttpResponse response) {
        unrequestedResponses.add(response);
        if (currentResponder == null || !currentResponder.isWithinResponse()) {
            sendUnrequested(context);
        }
    }

    private void sendUnrequested(ChannelHandlerContext context) {
        while (!unrequestedResponses.isEmpty()) {
            context.writeAndFlush(unrequestedResponses.poll());
        }
    }

    private void onResponseEnd(ChannelHandlerContext context) {
        currentResponder = null;
        sendUnrequested(context);
        // A separate task avoids deep recursion when many requests are pipelined.
        context.channel().eventLoop().execute(() -> serveNextIfIdle(context));
    }

    private void serveNextIfIdle(ChannelHandlerContext context) {
        if (currentResponder == null && context.channel().isActive()) {
            serveNext(context);
        }
    }

    private static FullRequest toFullRequest(FullHttpRequest request) {
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
        return new FullRequest(
                request.method().name(),
                uri.path(),
                query,
                headers,
                ImmutableBytes.of(ByteBufUtil.getBytes(request.content())));
    }
}
