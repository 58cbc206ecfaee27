package org.sequoiaspindle.standins.transport;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;

/**
 * The two sockets of a forwarded connection, both on one event loop. While the pair is silent,
 * neither socket is read, so data and ends of stream stay in the kernel buffers and both sockets
 * stay open.
 */
final class ConnectionPair {

    private final Channel client;
    private final Channel upstream;
    private boolean forwarding;
    private volatile boolean silent;

    ConnectionPair(Channel client, Channel upstream) {
        this.client = client;
        this.upstream = upstream;
    }

    boolean isSilent() {
        return silent;
    }

    /** Starts forwarding. A silent pair forwards data only after {@link #resumeForwarding}. */
    CompletableFuture<Void> startForwarding() {
        return runOnEventLoop(
                () -> {
                    forwarding = true;
                    updateAutoRead();
                });
    }

    CompletableFuture<Void> pauseForwarding() {
        return runOnEventLoop(
                () -> {
                    silent = true;
                    updateAutoRead();
                });
    }

    CompletableFuture<Void> resumeForwarding() {
        return runOnEventLoop(
                () -> {
                    silent = false;
                    updateAutoRead();
                });
    }

    CompletableFuture<Void> closeBoth() {
        return runOnEventLoop(
                () -> {
                    client.close();
                    upstream.close();
                });
    }

    /**
     * Enables reads from each socket only while the other socket is writable, which bounds the
     * buffered data.
     */
    void updateAutoRead() {
        client.config().setAutoRead(forwarding && !silent && upstream.isWritable());
        upstream.config().setAutoRead(forwarding && !silent && client.isWritable());
    }

    private CompletableFuture<Void> runOnEventLoop(Runnable action) {
        return CompletableFuture.runAsync(action, client.eventLoop());
    }
}
