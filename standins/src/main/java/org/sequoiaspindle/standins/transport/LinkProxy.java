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
import org.sequoiaspindle.standins.state.LinkOptions;
import org.sequoiaspindle.standins.state.LinkReport;

/**
 * Forwards the bytes of TCP connections to a target and, on order, goes silent. Orders return a
 * future that completes when they are in force on every connection.
 */
public final class LinkProxy implements Server {

    private final InetSocketAddress target;
    private final Set<LinkPair> pairs = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean silenceNew = new AtomicBoolean();
    private final Listener listener;
    private final Listener adminListener;

    private LinkProxy(LinkOptions options) {
        target = targetOf(options.target());
        listener = Listener.tcp(options.host(), options.port(), this::connect);
        adminListener =
                Listener.http(options.host(), options.adminPort(), LinkOrders.handler(this));
    }

    /** Starts a link to a target {@code ip:port} on ephemeral loopback ports. */
    public static LinkProxy start(String target) {
        return start(LinkOptions.to(target));
    }

    public static LinkProxy start(LinkOptions options) {
        return new LinkProxy(options);
    }

    @Override
    public String address() {
        return listener.address();
    }

    /** Address of the port that takes orders. */
    public String adminAddress() {
        return adminListener.address();
    }

    /** Stops passing bytes on the present connections; later ones are forwarded. */
    public CompletableFuture<Void> silenceExisting() {
        return onAll(LinkPair::silence);
    }

    /** Stops passing bytes on present and later connections. */
    public CompletableFuture<Void> silenceAll() {
        silenceNew.set(true);
        return onAll(LinkPair::silence);
    }

    /** Closes the present connections; later ones are treated as before. */
    public CompletableFuture<Void> cutAll() {
        return onAll(LinkPair::cut);
    }

    /** Passes bytes again on all connections, beginning with those that waited meanwhile. */
    public CompletableFuture<Void> heal() {
        silenceNew.set(false);
        return onAll(LinkPair::heal);
    }

    /** Numbers of open and of silent connections. */
    public LinkReport report() {
        return new LinkReport(
                pairs.size(), (int) pairs.stream().filter(LinkPair::isSilent).count());
    }

    @Override
    public void close() {
        adminListener.close();
        listener.close();
        cutAll().join();
    }

    private void connect(Channel caller) {
        caller.config().setAutoRead(false);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(caller.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(target);
        Channel far = connecting.channel();
        LinkPair pair = new LinkPair(caller, far);
        pairs.add(pair);
        caller.closeFuture().addListener(closed -> pairs.remove(pair));
        caller.pipeline().addLast(new LinkRelay(far, pair::readIfAllowed));
        far.pipeline().addLast(new LinkRelay(caller, pair::readIfAllowed));
        connecting.addListener(connected -> opened(pair, connected.isSuccess()));
    }

    private void opened(LinkPair pair, boolean success) {
        if (!success) {
            pair.cut();
            return;
        }
        if (silenceNew.get()) {
            pair.silence();
        }
        pair.open();
    }

    private CompletableFuture<Void> onAll(Function<LinkPair, CompletableFuture<Void>> order) {
        return CompletableFuture.allOf(pairs.stream().map(order).toArray(CompletableFuture[]::new));
    }

    private static InetSocketAddress targetOf(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
