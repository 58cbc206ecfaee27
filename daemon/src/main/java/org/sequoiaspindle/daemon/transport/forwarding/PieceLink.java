package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.collection.HashMap;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/**
 * Orders pieces from one other instance. Orders of a peer that is unreachable or silent are handed
 * back, to be made in another way; it gets none until it can be reached again. Confined to its
 * event loop.
 */
final class PieceLink {

    /** Interval at which a peer with open orders is asked for a sign of life, in milliseconds. */
    private static final long PING_MS = 200;

    /** Silence after which a peer with open orders is given up, in milliseconds. */
    private static final long SILENCE_MS = 700;

    /** Interval at which a peer that failed is tried again, in milliseconds. */
    static final long PROBE_MS = 1_000;

    private static final int CONNECT_MS = 400;

    /** An order that has not ended. */
    private record Open(
            Piece piece, BooleanSupplier wanted, CompletableFuture<PieceResult> result) {}

    /** Takes an order back that the peer did not end. */
    @FunctionalInterface
    interface Fallback {

        void make(Piece piece, BooleanSupplier wanted, CompletableFuture<PieceResult> result);
    }

    private final HostPort address;
    private final EventLoop loop;
    private final MillisClock clock;
    private final EventLog events;
    private final Fallback fallback;
    private final BooleanSupplier registered;
    private final Runnable forget;
    private final Map<Long, Open> open = new java.util.HashMap<>();
    private Channel channel;
    private boolean connecting;
    private boolean pinging;
    private long nextNumber;
    private long heardAt;
    private volatile boolean trusted = true;

    /**
     * A link that connects with its first order.
     *
     * @param registered whether the peer is known still
     * @param forget called instead of another try once it is not
     */
    PieceLink(
            HostPort address,
            EventLoop loop,
            MillisClock clock,
            EventLog events,
            Fallback fallback,
            BooleanSupplier registered,
            Runnable forget) {
        this.registered = registered;
        this.forget = forget;
        this.address = address;
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.fallback = fallback;
    }

    /** Whether the peer may be used; callable from any thread. */
    boolean isTrusted() {
        return trusted;
    }

    void order(Piece piece, BooleanSupplier wanted, CompletableFuture<PieceResult> result) {
        long number = nextNumber++;
        Open order = new Open(piece, wanted, result);
        open.put(number, order);
        if (channel != null) {
            send(number, order);
        } else if (!connecting) {
            connect();
        }
    }

    /** Passes results to be given up on; false if the peer is not connected. */
    boolean release(List<String> handles) {
        if (channel == null) {
            return false;
        }
        PieceFrames.send(channel, new PieceMessage.Release(handles));
        return true;
    }

    private void send(long number, Open order) {
        PieceFrames.send(
                channel, new PieceMessage.Order(number, order.piece().shifted(-clock.now())));
        if (!pinging) {
            pinging = true;
            heardAt = clock.now();
            loop.schedule(this::ping, PING_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void connect() {
        connecting = true;
        ChannelFuture future =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel created) {
                                        PieceFrames.install(
                                                created,
                                                (from, message) -> received(message),
                                                PieceLink.this::closed);
                                    }
                                })
                        .connect(new InetSocketAddress(address.host(), address.port()));
        future.addListener(
                done -> {
                    connecting = false;
                    if (done.isSuccess()) {
                        channel = future.channel();
                        trust();
                        Map.copyOf(open).forEach(this::send);
                    } else {
                        giveUp();
                    }
                });
    }

    private void received(PieceMessage message) {
        heardAt = clock.now();
        if (message instanceof PieceMessage.Done done) {
            Open order = open.remove(done.number());
            if (order != null) {
                order.result().complete(done.result());
            }
        }
    }

    private void closed(Channel gone) {
        if (gone == channel) {
            channel = null;
            giveUp();
        }
    }

    private void ping() {
        pinging = false;
        if (channel == null || open.isEmpty()) {
            return;
        }
        if (clock.now() - heardAt > SILENCE_MS) {
            channel.close();
            return;
        }
        dropUnwanted();
        PieceFrames.send(channel, new PieceMessage.Ping());
        pinging = true;
        loop.schedule(this::ping, PING_MS, TimeUnit.MILLISECONDS);
    }

    private void dropUnwanted() {
        List<Long> unwanted =
                open.entrySet().stream()
                        .filter(entry -> !entry.getValue().wanted().getAsBoolean())
                        .map(Map.Entry::getKey)
                        .toList();
        for (long number : unwanted) {
            Open order = open.remove(number);
            PieceFrames.send(channel, new PieceMessage.Cancel(number));
            order.result().complete(new PieceResult.NotMade(PieceResult.Reason.LATE));
        }
    }

    private void giveUp() {
        if (trusted) {
            trusted = false;
            events.record(
                    LogEvent.PEER_SUSPECTED,
                    HashMap.of("peer", address.toString(), "openOrders", open.size()));
        }
        loop.schedule(this::probe, PROBE_MS, TimeUnit.MILLISECONDS);
        List<Open> orders = List.copyOf(open.values());
        open.clear();
        orders.forEach(order -> fallback.make(order.piece(), order.wanted(), order.result()));
    }

    private void trust() {
        if (!trusted) {
            trusted = true;
            events.record(LogEvent.PEER_CONNECTED, HashMap.of("peer", address.toString()));
        }
    }

    private void probe() {
        if (!registered.getAsBoolean()) {
            forget.run();
        } else if (channel == null && !connecting) {
            connect();
        }
    }
}
