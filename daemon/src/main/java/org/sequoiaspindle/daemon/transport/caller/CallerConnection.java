package org.sequoiaspindle.daemon.transport.caller;

import io.micronaut.http.ServerHttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Tracks whether a connection of a caller is still open while a request from the connection is
 * handled.
 */
final class CallerConnection {

    private final Channel channel;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final ChannelFutureListener closeListener = future -> closed.set(true);

    private CallerConnection(Channel channel) {
        this.channel = channel;
    }

    /** Watches the connection of a request until {@link #stopWatching} is called. */
    static CallerConnection of(ServerHttpRequest<?> request) {
        Channel channel = ((NettyHttpRequest<?>) request).getChannelHandlerContext().channel();
        CallerConnection connection = new CallerConnection(channel);
        channel.closeFuture().addListener(connection.closeListener);
        return connection;
    }

    /** Returns a scheduler that runs tasks on the event loop of the connection. */
    Scheduler scheduler() {
        return Schedulers.fromExecutor(channel.eventLoop());
    }

    boolean isOpen() {
        return !closed.get();
    }

    void close() {
        closed.set(true);
        channel.close();
    }

    /**
     * Removes the close listener. A connection may carry many requests, whose listeners would
     * otherwise accumulate.
     */
    void stopWatching() {
        channel.closeFuture().removeListener(closeListener);
    }
}
