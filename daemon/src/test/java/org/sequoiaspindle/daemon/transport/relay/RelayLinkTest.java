package org.sequoiaspindle.daemon.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.relay.RelayMessage;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.ScriptedServer;
import org.sequoiaspindle.daemon.transport.frame.FramePeer;

/** Guards against taking another message for the reply to a query, and against lost queries. */
final class RelayLinkTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final StoreCommand QUERY = new StoreCommand.ReadNewer("config", 0);

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void lateSecondReplyToAQueryIsNotTakenForTheReplyToTheNextOne() throws Exception {
        try (ScriptedServer reader =
                new ScriptedServer(
                        connection -> {
                            var peer = new FramePeer<>(connection, RelayFrames.FORMAT);
                            long first = peer.read().number();
                            peer.send(new RelayMessage.Reply(first, listedAt(1)));
                            long second = peer.read().number();
                            peer.send(new RelayMessage.Reply(first, listedAt(1)));
                            peer.send(new RelayMessage.Reply(second, listedAt(2)));
                            peer.read();
                        })) {
            RelayLink link = link(reader);
            assertEquals(listedAt(1), execute(link));
            assertEquals(listedAt(2), execute(link));
        }
    }

    /** A query that no message completes any more would stop the reading of the store. */
    @Test
    void queryIsNotLostWhenAMessageThatIsNoReplyHasItsNumber() throws Exception {
        try (ScriptedServer reader =
                new ScriptedServer(
                        connection -> {
                            var peer = new FramePeer<>(connection, RelayFrames.FORMAT);
                            RelayMessage query = peer.read();
                            peer.send(query);
                            peer.send(new RelayMessage.Reply(query.number(), listedAt(1)));
                            peer.read();
                        })) {
            assertEquals(listedAt(1), execute(link(reader)));
        }
    }

    private RelayLink link(ScriptedServer reader) {
        String[] address = reader.address().split(":");
        return new RelayLink(
                new HostPort(address[0], Integer.parseInt(address[1])), loop, () -> {});
    }

    private StoreResult execute(RelayLink link) throws Exception {
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        loop.execute(() -> link.execute(QUERY, result));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static StoreResult listedAt(long revision) {
        return new StoreResult.Listed(Vector.empty(), false, revision);
    }
}
