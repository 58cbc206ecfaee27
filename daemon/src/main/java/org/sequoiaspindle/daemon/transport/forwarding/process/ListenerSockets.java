package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.IngressLimits;
import org.sequoiaspindle.daemon.transport.forwarding.client.ClientConnection;
import org.sequoiaspindle.daemon.transport.http.StrictRequestDecoder;

/** Opens the listening sockets of an instance. */
final class ListenerSockets {

    private static final int BACKLOG = 1_024;

    /** Number of buffers after which other connections are read. */
    private static final int MAX_READS = 64;

    /**
     * Largest buffer of a read, in bytes. All heads in a buffer are decoded before reading can be
     * paused, and heads of short fields use thirty times their size.
     */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    private static final int MAX_STATUS_REQUEST_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private ListenerSockets() {}

    /**
     * Listens for clients.
     *
     * @param handlerFactory creates the handler of a connection
     */
    static Channel bindClients(
            EventLoopGroup loops,
            HostPort address,
            Supplier<IngressLimits> limits,
            Function<Channel, ClientConnection> handlerFactory) {
        return bind(
                loops,
                address,
                channel -> {
                    readUntilEmpty(channel);
                    int maxHeader = limits.get().maxHeaderBytes();
                    ClientConnection handler = handlerFactory.apply(channel);
                    channel.pipeline()
                            .addLast(new BytesReceivedObserver(handler))
                            .addLast(
                                    new StrictRequestDecoder(maxHeader, maxHeader, MAX_CHUNK_BYTES))
                            .addLast(new HttpResponseEncoder())
                            .addLast(handler);
                });
    }

    /**
     * Makes each read of a connection go on until its socket is empty or closed, so that a close
     * behind a request is noticed in the read of the request.
     */
    private static void readUntilEmpty(SocketChannel channel) {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        allocator.respectMaybeMoreData(false);
        allocator.maxMessagesPerRead(MAX_READS);
        channel.config().setRecvByteBufAllocator(allocator);
    }

    /** Listens for requests for the status of the instance. */
    static Channel bindStatus(
            EventLoopGroup loops, HostPort address, Supplier<StatusHandler> handlerFactory) {
        return bind(
                loops,
                address,
                channel ->
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_STATUS_REQUEST_BYTES))
                                .addLast(handlerFactory.get()));
    }

    /**
     * Listens for other instances.
     *
     * @param initializer installs the handler of a new connection
     */
    static Channel bindPeers(
            EventLoopGroup loops, HostPort address, Consumer<Channel> initializer) {
        return bind(loops, address, initializer::accept);
    }

    private static Channel bind(
            EventLoopGroup loops, HostPort address, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initializer.accept(channel);
                            }
                        })
                .bind(new InetSocketAddress(address.host(), address.port()))
                .syncUninterruptibly()
                .channel();
    }

    /** Notifies a connection of received bytes before they are decoded. */
    private static final class BytesReceivedObserver extends ChannelInboundHandlerAdapter {

        private final ClientConnection connection;

        private BytesReceivedObserver(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (connection.receiveBytes((ByteBuf) message)) {
                ctx.fireChannelRead(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }
    }
}
