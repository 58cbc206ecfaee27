package org.sequoiaspindle.daemon.transport.forwarding.piece;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.vavr.collection.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.frame.FrameClient;

/**
 * Requests pieces from one other instance. If the peer is unreachable or unresponsive, pending
 * requests are passed to a fallback, and the peer is not used until it can be reached again.
 * Confined to the event loop of the link, except for {@link #isUsable}.
 */
final class PieceLink {

    /** Interval of the pings to a peer with pending requests, in milliseconds. */
    private static final long PING_INTERVAL_MS = 200;

    /**
     * Time without any message after which the connection to a peer with pending requests is
     * closed, in milliseconds.
     */
    private static final long SILENCE_TIMEOUT_MS = 700;

    /** Interval between attempts to reconnect to a failed peer, in milliseconds. */
    static final long RECONNECT_INTERVAL_MS = 1_000;

    /** A request without a reply so far. */
    private record PendingRequest(
            Piece piece, BooleanSupplier isNeeded, CompletableFuture<PieceResult> result) {}

    /** Executes a piece that the peer did not complete. */
    @FunctionalInterface
    interface Fallback {

        void execute(Piece piece, BooleanSupplier isNeeded, CompletableFuture<PieceResult> result);
    }

    private final HostPort address;
    private final EventLoop loop;
    private final MillisClock clock;
    private final EventLog events;
    private final Fallback fallback;
    private final BooleanSupplier isPeerRegistered;
    private final Runnable removeLink;
    private final Map<Long, PendingRequest> pendingRequests = new java.util.HashMap<>();
    private Channel channel;
    private boolean connecting;
    private boolean pingScheduled;
    private long nextNumber;
    private long lastReceivedAt;
    private volatile boolean usable = true;

    /**
     * Creates a link that connects on its first request.
     *
     * @param isPeerRegistered returns whether the peer is still registered
     * @param removeLink called instead of reconnecting to a peer that is not registered any more
     */
    PieceLink(
            HostPort address,
            EventLoop loop,
            MillisClock clock,
            EventLog events,
            Fallback fallback,
            BooleanSupplier isPeerRegistered,
            Runnable removeLink) {
        this.isPeerRegistered = isPeerRegistered;
        this.removeLink = removeLink;
        this.address = address;
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.fallback = fallback;
    }

    /** Returns whether the peer is considered reachable. May be called from any thread. */
    boolean isUsable() {
        return usable;
    }

    void request(Piece piece, BooleanSupplier isNeeded, CompletableFuture<PieceResult> result) {
        long number = nextNumber++;
        PendingRequest pending = new PendingRequest(piece, isNeeded, result);
        pendingRequests.put(number, pending);
        if (channel != null) {
            send(number, pending);
        } else if (!connecting) {
            connect();
        }
    }

    /**
     * Asks the peer to release results.
     *
     * @return false if the peer is not connected
     */
    boolean release(List<String> handles) {
        if (channel == null) {
            return false;
        }
        PieceFrames.send(channel, new PieceMessage.Release(handles));
        return true;
    }

    private void send(long number, PendingRequest pending) {
        PieceFrames.send(
                channel,
                new PieceMessage.Request(number, pending.piece().withTimesShifted(-clock.now())));
        if (!pingScheduled) {
            pingScheduled = true;
            lastReceivedAt = clock.now();
            loop.schedule(this::ping, PING_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void connect() {
        connecting = true;
        ChannelFuture future =
                FrameClient.connect(
                        loop, address, PieceFrames.FORMAT, this::received, this::closed);
        future.addListener(
                done -> {
                    connecting = false;
                    if (done.isSuccess()) {
                        channel = future.channel();
                        markUsable();
                        Map.copyOf(pendingRequests).forEach(this::send);
                    } else {
                        markUnusable();
                    }
                });
    }

    private void received(PieceMessage message) {
        lastReceivedAt = clock.now();
        if (message instanceof PieceMessage.Reply reply) {
            PendingRequest pending = pendingRequests.remove(reply.number());
            if (pending != null) {
                pending.result().complete(reply.result());
            }
        }
    }

    private void closed(Channel closedChannel) {
        if (closedChannel == channel) {
            channel = null;
            markUnusable();
        }
    }

    private void ping() {
        pingScheduled = false;
        if (channel == null || pendingRequests.isEmpty()) {
            return;
        }
        if (clock.now() - lastReceivedAt > SILENCE_TIMEOUT_MS) {
            channel.close();
            return;
        }
        cancelUnneeded();
        PieceFrames.send(channel, new PieceMessage.Ping());
        pingScheduled = true;
        loop.schedule(this::ping, PING_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void cancelUnneeded() {
        List<Long> unneededNumbers =
                pendingRequests.entrySet().stream()
                        .filter(entry -> !entry.getValue().isNeeded().getAsBoolean())
                        .map(Map.Entry::getKey)
                        .toList();
        for (long number : unneededNumbers) {
            PendingRequest pending = pendingRequests.remove(number);
            PieceFrames.send(channel, new PieceMessage.Cancel(number));
            pending.result().complete(new PieceResult.NotCompleted(PieceResult.Reason.LATE));
        }
    }

    private void markUnusable() {
        if (usable) {
            usable = false;
            events.record(
                    LogEvent.PEER_SUSPECTED,
                    HashMap.of("peer", address.toString(), "openOrders", pendingRequests.size()));
        }
        loop.schedule(this::reconnect, RECONNECT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        List<PendingRequest> failedRequests = List.copyOf(pendingRequests.values());
        pendingRequests.clear();
        failedRequests.forEach(
                pending -> fallback.execute(pending.piece(), pending.isNeeded(), pending.result()));
    }

    private void markUsable() {
        if (!usable) {
            usable = true;
            events.record(LogEvent.PEER_CONNECTED, HashMap.of("peer", address.toString()));
        }
    }

    private void reconnect() {
        if (!isPeerRegistered.getAsBoolean()) {
            removeLink.run();
        } else if (channel == null && !connecting) {
            connect();
        }
    }
}
