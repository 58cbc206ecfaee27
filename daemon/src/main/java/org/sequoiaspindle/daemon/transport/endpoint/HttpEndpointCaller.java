package org.sequoiaspindle.daemon.transport.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.SizeClass;
import org.sequoiaspindle.daemon.protocol.SocketAddressParser;
import org.sequoiaspindle.daemon.protocol.endpoint.EndpointMessages;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.transport.http.StrictResponseDecoder;

/**
 * Calls endpoints over HTTP/1.1 with keep-alive connections. Uses Netty's HTTP codec rather than
 * Micronaut's client, which has two defects for this purpose: it does not show whether a byte of a
 * call was written, and it does not close the connection of a cancelled call immediately.
 */
public final class HttpEndpointCaller implements EndpointCaller, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 8_192;
    private static final String PATH = "/v1/execute";
    private static final String EVENT_STREAM = "text/event-stream";

    private final IdleConnectionPool idleConnections = new IdleConnectionPool();
    private final EndpointTimeouts timeouts;
    private final Bootstrap bootstrap;

    /**
     * Creates a caller without opening connections.
     *
     * @param eventLoops event loops of the connections; not shut down by {@link #close}
     */
    public HttpEndpointCaller(EventLoopGroup eventLoops, EndpointTimeouts timeouts) {
        this.timeouts = timeouts;
        long connectMillis = Math.min(CONNECT_TIMEOUT_MS, timeouts.firstByteMillis());
        this.bootstrap =
                new Bootstrap()
                        .group(eventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis);
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        InFlightCall inFlightCall = new InFlightCall(call, sink);
        Try.of(() -> request(call))
                .onSuccess(request -> send(inFlightCall, request))
                .onFailure(
                        e -> inFlightCall.tryEndBeforeSending("the call cannot be encoded: " + e));
        return new EndpointExchange(inFlightCall.result(), inFlightCall::cancel);
    }

    @Override
    public void close() {
        idleConnections.closeAll();
    }

    /** Returns the number of idle connections to an address. */
    int idleConnectionCount(String address) {
        return idleConnections.size(address);
    }

    private void send(InFlightCall inFlightCall, FullHttpRequest request) {
        Option<Channel> idleChannel = idleConnections.take(inFlightCall.call().address());
        if (idleChannel.isEmpty()) {
            connect(inFlightCall, request);
            return;
        }
        Channel channel = idleChannel.get();
        if (channel.eventLoop().inEventLoop()) {
            sendOn(channel, inFlightCall, request);
        } else {
            channel.eventLoop().execute(() -> sendOn(channel, inFlightCall, request));
        }
    }

    /** Sends the call on a channel, or on a new connection if the channel has been closed. */
    private void sendOn(Channel channel, InFlightCall inFlightCall, FullHttpRequest request) {
        if (!channel.isActive()) {
            connect(inFlightCall, request);
            return;
        }
        EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
        if (inFlightCall.tryStartSending(channel)) {
            connection.startCall(inFlightCall, request);
        } else {
            connection.returnToPool();
        }
    }

    private void connect(InFlightCall inFlightCall, FullHttpRequest request) {
        String address = inFlightCall.call().address();
        Option<InetSocketAddress> target = SocketAddressParser.parse(address);
        if (target.isEmpty()) {
            inFlightCall.tryEndBeforeSending("malformed address " + address);
            return;
        }
        ChannelFuture connectFuture =
                bootstrap.clone().handler(new ConnectionInitializer(address)).connect(target.get());
        connectFuture.addListener(
                future -> {
                    if (future.isSuccess()) {
                        sendOn(connectFuture.channel(), inFlightCall, request);
                    } else {
                        inFlightCall.tryEndBeforeSending(
                                "connection failed: " + future.cause().getMessage());
                    }
                });
    }

    private static FullHttpRequest request(EndpointCall call) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        PATH,
                        Unpooled.wrappedBuffer(EndpointMessages.encodeCall(call)));
        HttpHeaders headers = request.headers();
        headers.set(HttpHeaderNames.HOST, call.address())
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes())
                .set(HttpHeaderNames.ACCEPT, call.streams() ? EVENT_STREAM : "application/json")
                .set("Sequoia-Request-Id", call.requestId().value())
                .set("Sequoia-Organisation", call.organisation())
                .set("Sequoia-Stage", call.stage())
                .set("Sequoia-Attempt", call.attempt())
                .set("Sequoia-Deadline-Ms", call.remainingMillis())
                .set("Sequoia-Priority", call.sizeClass() == SizeClass.LONG ? 1 : 0);
        if (!call.traceParent().isEmpty()) {
            headers.set("traceparent", call.traceParent());
        }
        return request;
    }

    /** Builds the pipeline of a connection to one address. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        private final String address;

        private ConnectionInitializer(String address) {
            this.address = address;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            StrictResponseDecoder decoder =
                    new StrictResponseDecoder(
                            MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
            channel.pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(decoder)
                    .addLast(new EndpointConnection(timeouts, idleConnections, address, decoder));
        }
    }
}
