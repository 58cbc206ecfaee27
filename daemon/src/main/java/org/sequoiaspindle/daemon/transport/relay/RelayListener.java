package org.sequoiaspindle.daemon.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiaspindle.core.protocol.relay.RelayMessage;
import org.sequoiaspindle.core.protocol.relay.SharedStore;
import org.sequoiaspindle.daemon.transport.frame.FrameHandler;

/** Executes reads of the store for other instances. Thread-safe. */
public final class RelayListener {

    /**
     * Queries that an instance may have open at the same time: a read, a watch, a listing, and as
     * many again after a fallback to another reader.
     */
    private static final int MAX_OPEN_QUERIES = 16;

    private final SharedStore store;
    private final EventLoop loop;

    /**
     * Creates a listener.
     *
     * @param loop event loop to which the store is confined
     */
    public RelayListener(SharedStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Installs the handler of a new connection. */
    public void install(Channel channel) {
        AtomicInteger open = new AtomicInteger();
        FrameHandler.install(
                channel,
                RelayFrames.FORMAT,
                (from, message) -> received(from, open, message),
                closed -> {});
    }

    private void received(Channel channel, AtomicInteger open, RelayMessage message) {
        if (!(message instanceof RelayMessage.Query query)
                || open.incrementAndGet() > MAX_OPEN_QUERIES) {
            channel.close();
            return;
        }
        loop.execute(
                () ->
                        store.executeForPeer(query.command())
                                .thenAccept(
                                        result -> {
                                            open.decrementAndGet();
                                            RelayFrames.send(
                                                    channel,
                                                    new RelayMessage.Reply(query.number(), result));
                                        }));
    }
}
