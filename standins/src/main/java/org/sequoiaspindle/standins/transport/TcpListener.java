package org.sequoiaspindle.standins.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.sequoiaspindle.standins.protocol.HttpHandler;

/** A listening TCP socket and the connections accepted on the socket. */
final class TcpListener implements AutoCloseable {

    // Above the largest value that the platform accepts, so that the limit of the platform stand-in
    // applies first.
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int BACKLOG = 1024;

    private final Channel channel;
    private final ChannelGroup connections;

    private TcpListener(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /** Starts a listener for HTTP/1.1 requests. */
    static TcpListener http(String host, int port, HttpHandler handler) {
        return tcp(
                host,
                port,
                connection ->
                        connection
                                .pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new HttpConnectionHandler(handler)));
    }

    /**
     * Starts a listener for connections.
     *
     * @param port port to listen on, 0 for an ephemeral port
     * @param setup adds the channel handlers of a new connection
     */
    static TcpListener tcp(String host, int port, Consumer<Channel> setup) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
        Channel channel =
                new ServerBootstrap()
                        .group(EventLoops.sharedGroup())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        connections.add(connection);
                                        setup.accept(connection);
                                    }
                                })
                        .bind(host, port)
                        .syncUninterruptibly()
                        .channel();
        return new TcpListener(channel, connections);
    }

    /** Returns the address as {@code ip:port}. */
    String address() {
        InetSocketAddress local = (InetSocketAddress) channel.localAddress();
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** Stops listening and closes all connections. Must not be called on an event loop. */
    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
