package org.sequoiaspindle.daemon.transport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/**
 * Pool of the connections of one event loop to servers. Connections are pooled by server process
 * and not by address alone, because addresses are reused. Confined to the event loop.
 */
public final class ConnectionPool {

    /**
     * Connect timeout in milliseconds. Connecting takes a few milliseconds within a region and some
     * tens on a slow machine. After the timeout, a request to an unreachable endpoint can be sent
     * to another one.
     */
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** Interval at which expired idle connections are closed, in milliseconds. */
    private static final long SWEEP_INTERVAL_MS = 1_000;

    /**
     * A server to connect to.
     *
     * @param processId identifier of the server process at the address
     */
    public record Destination(HostPort address, String processId) {}

    private final EventLoop loop;
    private final Class<? extends Channel> channelType;
    private final MillisClock clock;
    private final Consumer<UnrequestedBytes> onUnrequestedBytes;
    private final Map<Destination, Deque<OutboundConnection>> idleConnections = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param onUnrequestedBytes called when a server sends bytes on a connection without a request
     *     in progress; the connection is then closed
     */
    public ConnectionPool(
            EventLoop loop,
            Class<? extends Channel> channelType,
            MillisClock clock,
            Consumer<UnrequestedBytes> onUnrequestedBytes) {
        this.loop = loop;
        this.channelType = channelType;
        this.clock = clock;
        this.onUnrequestedBytes = onUnrequestedBytes;
        loop.scheduleWithFixedDelay(
                this::closeExpired, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Passes an idle or a new connection to the callback. The callback receives null and the reason
     * if connecting fails.
     */
    public void acquire(Destination destination, BiConsumer<OutboundConnection, String> callback) {
        acquire(destination, connection -> true, callback);
    }

    /**
     * Passes a connection that has not carried a request with the identifier yet to the callback.
     * On a connection that has, a late copy of the earlier response would be taken for the response
     * to this request, because both name the same identifier. Such connections are closed, so that
     * requests with one identifier do not accumulate connections.
     */
    public void acquireFor(
            String requestId,
            Destination destination,
            BiConsumer<OutboundConnection, String> callback) {
        acquire(
                destination,
                connection -> !connection.hasCarried(requestId),
                (connection, reason) -> {
                    if (connection != null) {
                        connection.recordRequest(requestId);
                    }
                    callback.accept(connection, reason);
                });
    }

    private void acquire(
            Destination destination,
            Predicate<OutboundConnection> isSuitable,
            BiConsumer<OutboundConnection, String> callback) {
        OutboundConnection idle = takeIdle(destination, isSuitable);
        if (idle != null) {
            callback.accept(idle, "");
        } else {
            connect(destination, callback);
        }
    }

    /**
     * Removes the newest suitable connection from the pool, or returns null if there is none.
     * Closes the unsuitable ones that are newer.
     */
    private OutboundConnection takeIdle(
            Destination destination, Predicate<OutboundConnection> isSuitable) {
        Deque<OutboundConnection> connections = idleConnections.get(destination);
        if (connections == null) {
            return null;
        }
        Iterator<OutboundConnection> newestFirst = connections.descendingIterator();
        while (newestFirst.hasNext()) {
            OutboundConnection connection = newestFirst.next();
            if (!connection.isUsable() || isExpired(connection)) {
                continue;
            }
            newestFirst.remove();
            if (isSuitable.test(connection)) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /**
     * Returns an acquired connection that has not been used. The server's timeout still runs from
     * its last response.
     */
    public void release(Destination destination, OutboundConnection connection) {
        returnToPool(destination, connection);
    }

    private void connect(Destination destination, BiConsumer<OutboundConnection, String> callback) {
        ChannelFuture connectFuture =
                new Bootstrap()
                        .group(loop)
                        .channel(channelType)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        install(channel, destination);
                                    }
                                })
                        .connect(
                                new InetSocketAddress(
                                        destination.address().host(),
                                        destination.address().port()));
        connectFuture.addListener(
                done -> {
                    if (done.isSuccess()) {
                        callback.accept(
                                connectFuture.channel().pipeline().get(OutboundConnection.class),
                                "");
                    } else {
                        callback.accept(null, String.valueOf(done.cause().getMessage()));
                    }
                });
    }

    private void install(Channel channel, Destination destination) {
        OutboundConnection.install(
                channel,
                connection -> {
                    connection.recordIdleSince(clock.now());
                    returnToPool(destination, connection);
                },
                connection -> removeClosed(destination, connection),
                head -> reportUnrequested(destination, channel, head));
    }

    private void reportUnrequested(
            Destination destination, Channel channel, Optional<HttpResponse> head) {
        OutboundConnection connection = channel.pipeline().get(OutboundConnection.class);
        onUnrequestedBytes.accept(
                new UnrequestedBytes(
                        destination, connection.name(), connection.carriedRequestCount(), head));
    }

    private void returnToPool(Destination destination, OutboundConnection connection) {
        idleConnections.computeIfAbsent(destination, key -> new ArrayDeque<>()).addLast(connection);
    }

    private void removeClosed(Destination destination, OutboundConnection connection) {
        Deque<OutboundConnection> connections = idleConnections.get(destination);
        if (connections == null) {
            return;
        }
        connections.remove(connection);
        if (connections.isEmpty()) {
            idleConnections.remove(destination);
        }
    }

    private boolean isExpired(OutboundConnection connection) {
        return clock.now() - connection.idleSince() > connection.idleLimitMillis();
    }

    private void closeExpired() {
        idleConnections.values().stream()
                .flatMap(Deque::stream)
                .filter(this::isExpired)
                .toList()
                .forEach(OutboundConnection::close);
    }
}
