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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.SizeClass;
import org.sequoiaspindle.daemon.protocol.IpAddresses;
import org.sequoiaspindle.daemon.protocol.endpoint.EndpointMessages;
import org.sequoiaspindle.daemon.state.EndpointLimits;

/**
 * Calls endpoints over HTTP/1.1 with keep-alive connections. Uses Netty's HTTP codec rather than
 * Micronaut's client: whether a byte was written must be known for each call, a cancelled call must
 * close its connection at once, and Micronaut's client shows neither.
 */
public final class HttpEndpointCaller implements EndpointCaller, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final String PATH = "/v1/execute";
    private static final String EVENT_STREAM = "text/event-stream";

    private final IdleConnections idle = new IdleConnections();
    private final EndpointLimits limits;
    private final Bootstrap bootstrap;

    /**
     * Creates a caller without connections.
     *
     * @param eventLoops event loops of its connections; they stay open on close
     */
    public HttpEndpointCaller(EventLoopGroup eventLoops, EndpointLimits limits) {
        this.limits = limits;
        long connectMillis = Math.min(CONNECT_TIMEOUT_MS, limits.firstByteMillis());
        this.bootstrap =
                new Bootstrap()
                        .group(eventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis);
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        EndpointAttempt attempt = new EndpointAttempt(call, sink);
        Try.of(() -> request(call))
                .onSuccess(request -> send(attempt, request))
                .onFailure(e -> attempt.endBeforeSending("the call cannot be encoded: " + e));
        return new EndpointExchange(attempt.result(), attempt::cancel);
    }

    @Override
    public void close() {
        idle.closeAll();
    }

    /** Number of open connections without a call to an address. */
    int idleConnections(String address) {
        return idle.count(address);
    }

    private void send(EndpointAttempt attempt, FullHttpRequest request) {
        Option<Channel> pooled = idle.take(attempt.call().address());
        if (pooled.isEmpty()) {
            connect(attempt, request);
            return;
        }
        Channel channel = pooled.get();
        if (channel.eventLoop().inEventLoop()) {
            sendOn(channel, attempt, request);
        } else {
            channel.eventLoop().execute(() -> sendOn(channel, attempt, request));
        }
    }

    /** A connection that closed before anything was written on it is replaced by a new one. */
    private void sendOn(Channel channel, EndpointAttempt attempt, FullHttpRequest request) {
        if (!channel.isActive()) {
            connect(attempt, request);
            return;
        }
        EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
        if (attempt.startSending(channel)) {
            connection.start(attempt, request);
        } else {
            connection.becomeIdle();
        }
    }

    private void connect(EndpointAttempt attempt, FullHttpRequest request) {
        String address = attempt.call().address();
        Option<InetSocketAddress> target = IpAddresses.parse(address);
        if (target.isEmpty()) {
            attempt.endBeforeSending("malformed address " + address);
            return;
        }
        ChannelFuture connecting =
                bootstrap.clone().handler(new Initializer(address)).connect(target.get());
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        sendOn(connecting.channel(), attempt, request);
                    } else {
                        attempt.endBeforeSending("no connection: " + done.cause().getMessage());
                    }
                });
    }

    private static FullHttpRequest request(EndpointCall call) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        PATH,
                        Unpooled.wrappedBuffer(EndpointMessages.call(call)));
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
    private final class Initializer extends ChannelInitializer<SocketChannel> {

        private final String address;

        private Initializer(String address) {
            this.address = address;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new EndpointConnection(limits, idle, address));
        }
    }
}
