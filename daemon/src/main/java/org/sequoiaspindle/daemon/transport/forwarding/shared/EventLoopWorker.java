package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;
import org.sequoiaspindle.daemon.transport.http.UnrequestedBytes;

/**
 * An event loop with a connection pool and an HTTP client, so that a request is handled on one
 * thread.
 */
public record EventLoopWorker(EventLoop loop, ConnectionPool pool, HttpCallClient httpClient) {

    /**
     * Creates a worker whose connections use NIO.
     *
     * @param onUnrequestedBytes called with bytes that arrive on a connection without a request
     */
    public static EventLoopWorker of(
            EventLoop loop, MillisClock clock, Consumer<UnrequestedBytes> onUnrequestedBytes) {
        ConnectionPool pool =
                new ConnectionPool(loop, NioSocketChannel.class, clock, onUnrequestedBytes);
        return new EventLoopWorker(loop, pool, new HttpCallClient(loop, pool));
    }

    /** Returns a timer whose tasks run on the event loop. */
    public Timer timer() {
        return (delayMillis, task) -> {
            var scheduled = loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        };
    }
}
