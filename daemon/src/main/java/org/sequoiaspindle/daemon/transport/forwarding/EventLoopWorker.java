package org.sequoiaspindle.daemon.transport.forwarding;

import io.netty.channel.EventLoop;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/**
 * An event loop with a connection pool and an HTTP client, so that a request is handled on one
 * thread.
 */
record EventLoopWorker(EventLoop loop, ConnectionPool pool, HttpCallClient httpClient) {}
