package org.sequoiaspindle.daemon.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.protocol.peer.LinkCallbacks;
import org.sequoiaspindle.core.protocol.peer.PeerTransport;

/**
 * Peer links over TCP. A frame is a 4-byte length followed by a MessagePack message. The handshake,
 * timeouts of silent links and the choice between duplicate links are left to the receiver of the
 * {@link LinkCallbacks}.
 */
public final class TcpPeerTransport implements PeerTransport, AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /**
     * Limits of the data buffered for a slow peer; a link whose buffer exceeds the high mark is
     * closed. The high mark holds four frames of the largest size.
     */
    private static final WriteBufferWaterMark OUTBOUND_WATER_MARKS =
            new WriteBufferWaterMark(2 * 1024 * 1024, 8 * 1024 * 1024);

    private final EventLog eventLog;
    private final ByteCounter sentBytes;
    private final ByteCounter receivedBytes;
    private final AtomicReference<Option<LinkCallbacks>> acceptedLinkCallbacks =
            new AtomicReference<>(Option.none());
    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(
                    IO_THREADS,
                    new DefaultThreadFactory("peer-link", true),
                    NioIoHandler.newFactory());

    /** Creates a transport that is not listening yet. */
    public TcpPeerTransport(EventLog eventLog, ByteCounter sentBytes, ByteCounter receivedBytes) {
        this.eventLog = eventLog;
        this.sentBytes = sentBytes;
        this.receivedBytes = receivedBytes;
    }

    /**
     * Binds the peer port and returns the bound address; port 0 selects a free port. Incoming
     * connections are closed immediately until {@link #startAccepting} is called.
     *
     * @throws java.net.BindException if the address is in use
     */
    public InetSocketAddress bind(InetSocketAddress address) {
        Channel server =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_WATER_MARKS)
                        .childHandler(initializer(this::installAccepted))
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        return (InetSocketAddress) server.localAddress();
    }

    /** Starts accepting connections and reports the events of the connections to the callbacks. */
    public void startAccepting(LinkCallbacks callbacks) {
        acceptedLinkCallbacks.set(Option.of(callbacks));
    }

    private void installAccepted(Channel channel) {
        Option<LinkCallbacks> callbacks = acceptedLinkCallbacks.get();
        if (callbacks.isEmpty()) {
            channel.close();
            return;
        }
        install(channel, String.valueOf(channel.remoteAddress()), callbacks.get());
    }

    @Override
    public void connect(String address, LinkCallbacks callbacks) {
        Option<InetSocketAddress> target = parse(address);
        if (target.isEmpty() || eventLoops.isShuttingDown()) {
            callbacks.failed().run();
            return;
        }
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_WATER_MARKS)
                .handler(initializer(channel -> install(channel, address, callbacks)))
                .connect(target.get())
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                callbacks.failed().run();
                            }
                        });
    }

    private static ChannelInitializer<Channel> initializer(Consumer<Channel> setUp) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                setUp.accept(channel);
            }
        };
    }

    private void install(Channel channel, String remote, LinkCallbacks callbacks) {
        PeerChannel.install(channel, remote, callbacks, eventLog, sentBytes, receivedBytes);
    }

    /** Parses an IP address and a port. Host names are rejected, as resolving them may block. */
    private static Option<InetSocketAddress> parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return Option.none();
        }
        return Option.of(NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon)))
                .flatMap(
                        ip ->
                                Try.of(() -> Integer.parseInt(address.substring(colon + 1)))
                                        .filter(port -> port > 0 && port <= 0xffff)
                                        .toOption()
                                        .map(port -> new InetSocketAddress(ip, port)));
    }

    /** Closes all connections and the peer port. */
    @Override
    public void close() {
        eventLoops
                .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
