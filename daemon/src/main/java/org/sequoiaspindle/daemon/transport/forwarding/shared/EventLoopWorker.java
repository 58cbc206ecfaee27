package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/**
 * An event loop with a connection pool and an HTTP client, so that a request is handled on one
 * thread.
 */
public record EventLoopWorker(EventLoop loop, ConnectionPool pool, HttpCallClient httpClient) {

    /** Returns a timer whose tasks run on the event loop. */
    public Timer timer() {
        return (delayMillis, task) -> {
            var scheduled = loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        };
    }
}
