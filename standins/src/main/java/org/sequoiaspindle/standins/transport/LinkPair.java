package org.sequoiaspindle.standins.transport;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;

/**
 * The two sockets of a forwarded connection. Both are served by one event loop. While the pair is
 * silent neither socket is read, so bytes and ends of stream wait in the kernel and both stay open.
 */
final class LinkPair {

    private final Channel caller;
    private final Channel far;
    private boolean open;
    private volatile boolean silent;

    LinkPair(Channel caller, Channel far) {
        this.caller = caller;
        this.far = far;
    }

    boolean isSilent() {
        return silent;
    }

    /** Begins to pass bytes, unless the pair is silent. */
    CompletableFuture<Void> open() {
        return onLoop(
                () -> {
                    open = true;
                    readIfAllowed();
                });
    }

    CompletableFuture<Void> silence() {
        return onLoop(
                () -> {
                    silent = true;
                    readIfAllowed();
                });
    }

    CompletableFuture<Void> heal() {
        return onLoop(
                () -> {
                    silent = false;
                    readIfAllowed();
                });
    }

    CompletableFuture<Void> cut() {
        return onLoop(
                () -> {
                    caller.close();
                    far.close();
                });
    }

    /** Reads each socket only while the other one takes bytes, which bounds the memory. */
    void readIfAllowed() {
        caller.config().setAutoRead(open && !silent && far.isWritable());
        far.config().setAutoRead(open && !silent && caller.isWritable());
    }

    private CompletableFuture<Void> onLoop(Runnable action) {
        return CompletableFuture.runAsync(action, caller.eventLoop());
    }
}
