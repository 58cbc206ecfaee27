package org.sequoiaspindle.daemon.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.core.protocol.relay.RelayMessage;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.frame.FrameClient;

/**
 * Connection to an instance through which the store is read. A query without a reply in time closes
 * the connection, which ends all other queries as well. Confined to the event loop of the link.
 */
final class RelayLink {

    /**
     * Time for the reply to a query, in milliseconds: the interval between two reads of a reader
     * and a fifth of a second for the store and the network. A watch is allowed its own waiting
     * time in addition.
     */
    static final long REPLY_TIMEOUT_MS = 1_200;

    private final HostPort address;
    private final EventLoop loop;
    private final Runnable onClosed;
    private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
    private Channel channel;
    private boolean closed;
    private long nextNumber;

    private record PendingQuery(StoreCommand command, CompletableFuture<StoreResult> result) {}

    /**
     * Creates a link, which connects at once.
     *
     * @param onClosed called when the connection has failed; the link is then not usable any more
     */
    RelayLink(HostPort address, EventLoop loop, Runnable onClosed) {
        this.address = address;
        this.loop = loop;
        this.onClosed = onClosed;
        connect();
    }

    void execute(StoreCommand command, CompletableFuture<StoreResult> result) {
        if (closed) {
            result.complete(unavailable("is closed"));
            return;
        }
        long number = nextNumber++;
        pendingQueries.put(number, new PendingQuery(command, result));
        long waitMillis =
                command instanceof StoreCommand.AwaitChanges watch ? watch.waitMillis() : 0;
        loop.schedule(
                () -> closeIfPending(number), waitMillis + REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (channel != null) {
            RelayFrames.send(channel, new RelayMessage.Query(number, command));
        }
    }

    private void connect() {
        ChannelFuture future =
                FrameClient.connect(
                        loop,
                        address,
                        RelayFrames.FORMAT,
                        this::received,
                        ignored -> close("was closed"));
        future.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        close("cannot be opened");
                        return;
                    }
                    channel = future.channel();
                    pendingQueries.forEach(
                            (number, query) ->
                                    RelayFrames.send(
                                            channel,
                                            new RelayMessage.Query(number, query.command())));
                });
    }

    private void received(RelayMessage message) {
        if (!(message instanceof RelayMessage.Reply reply)) {
            return;
        }
        PendingQuery query = pendingQueries.remove(reply.number());
        if (query != null) {
            query.result().complete(reply.result());
        }
    }

    private void closeIfPending(long number) {
        if (pendingQueries.containsKey(number)) {
            close("does not reply");
        }
    }

    private void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        onClosed.run();
        if (channel != null) {
            channel.close();
        }
        List<PendingQuery> failed = List.copyOf(pendingQueries.values());
        pendingQueries.clear();
        failed.forEach(query -> query.result().complete(unavailable(reason)));
    }

    private StoreResult unavailable(String reason) {
        return new StoreResult.Unavailable("link to reader " + address + " " + reason);
    }
}
