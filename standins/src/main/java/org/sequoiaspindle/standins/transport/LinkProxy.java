package org.sequoiaspindle.standins.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.sequoiaspindle.standins.state.LinkConnectionCounts;
import org.sequoiaspindle.standins.state.LinkOptions;

/**
 * TCP proxy that forwards connections to a target and can stop forwarding data without closing the
 * connections. Each command returns a future that completes when the command has been applied to
 * every connection.
 */
public final class LinkProxy implements StandinServer {

    private final InetSocketAddress target;
    private final Set<ConnectionPair> pairs = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean silenceNewConnections = new AtomicBoolean();
    private final TcpListener listener;
    private final TcpListener adminListener;

    private LinkProxy(LinkOptions options) {
        target = targetOf(options.target());
        listener = TcpListener.tcp(options.host(), options.port(), this::connect);
        adminListener =
                TcpListener.http(options.host(), options.adminPort(), LinkAdminApi.handler(this));
    }

    /** Starts a proxy to a target {@code ip:port} on ephemeral loopback ports. */
    public static LinkProxy start(String target) {
        return start(LinkOptions.forTarget(target));
    }

    public static LinkProxy start(LinkOptions options) {
        return new LinkProxy(options);
    }

    @Override
    public String address() {
        return listener.address();
    }

    /** Returns the address of the admin port. */
    public String adminAddress() {
        return adminListener.address();
    }

    /** Stops forwarding on the existing connections; new connections are forwarded. */
    public CompletableFuture<Void> silenceExisting() {
        return forAllPairs(ConnectionPair::pauseForwarding);
    }

    /** Stops forwarding on existing and new connections. */
    public CompletableFuture<Void> silenceAll() {
        silenceNewConnections.set(true);
        return forAllPairs(ConnectionPair::pauseForwarding);
    }

    /**
     * Closes the existing connections; new connections are accepted, and are silent if {@link
     * #silenceAll} is active.
     */
    public CompletableFuture<Void> cutAll() {
        return forAllPairs(ConnectionPair::closeBoth);
    }

    /**
     * Resumes forwarding on all connections, beginning with the data that arrived while forwarding
     * was stopped.
     */
    public CompletableFuture<Void> heal() {
        silenceNewConnections.set(false);
        return forAllPairs(ConnectionPair::resumeForwarding);
    }

    /** Returns the counts of the open connections and of the silent connections. */
    public LinkConnectionCounts connectionCounts() {
        return new LinkConnectionCounts(
                pairs.size(), (int) pairs.stream().filter(ConnectionPair::isSilent).count());
    }

    @Override
    public void close() {
        adminListener.close();
        listener.close();
        cutAll().join();
    }

    private void connect(Channel client) {
        client.config().setAutoRead(false);
        ChannelFuture connectFuture =
                new Bootstrap()
                        .group(client.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(target);
        Channel upstream = connectFuture.channel();
        ConnectionPair pair = new ConnectionPair(client, upstream);
        pairs.add(pair);
        client.closeFuture().addListener(future -> pairs.remove(pair));
        client.pipeline().addLast(new SocketRelay(upstream, pair::updateAutoRead));
        upstream.pipeline().addLast(new SocketRelay(client, pair::updateAutoRead));
        connectFuture.addListener(future -> onConnected(pair, future.isSuccess()));
    }

    private void onConnected(ConnectionPair pair, boolean success) {
        if (!success) {
            pair.closeBoth();
            return;
        }
        if (silenceNewConnections.get()) {
            pair.pauseForwarding();
        }
        pair.startForwarding();
    }

    private CompletableFuture<Void> forAllPairs(
            Function<ConnectionPair, CompletableFuture<Void>> command) {
        return CompletableFuture.allOf(
                pairs.stream().map(command).toArray(CompletableFuture[]::new));
    }

    private static InetSocketAddress targetOf(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
