package org.sequoiaspindle.daemon.transport.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.ScriptedServer;
import org.sequoiaspindle.daemon.transport.frame.FramePeer;

/** Guards against taking the reply to a request for a piece for that to another request. */
final class RepeatedPieceReplyTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final Piece PIECE =
            new Piece("request", 0, 0, "encoder", "key", List.of(), 10, "", 9_000, 9_000, 1);

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void lateSecondReplyIsNotTakenForTheReplyToTheNextRequest() throws Exception {
        try (ScriptedServer instance =
                new ScriptedServer(
                        connection -> {
                            FramePeer<PieceMessage> peer =
                                    new FramePeer<>(connection, PieceFrames.FORMAT);
                            long first = readRequest(peer).number();
                            peer.send(new PieceMessage.Reply(first, result("first")));
                            long second = readRequest(peer).number();
                            peer.send(new PieceMessage.Reply(first, result("first")));
                            peer.send(new PieceMessage.Reply(second, result("second")));
                            peer.read();
                        })) {
            PieceLink link = link(instance);
            assertEquals(result("first"), request(link));
            assertEquals(result("second"), request(link));
        }
    }

    /** The numbers of requests continue on a new connection, so that old replies match none. */
    @Test
    void replyToARequestOnAnEarlierConnectionIsNotUsed() throws Exception {
        try (ScriptedServer instance =
                new ScriptedServer(
                        connection -> {
                            FramePeer<PieceMessage> peer =
                                    new FramePeer<>(connection, PieceFrames.FORMAT);
                            long number = readRequest(peer).number();
                            if (connection.number() == 1) {
                                return;
                            }
                            peer.send(new PieceMessage.Reply(number - 1, result("earlier")));
                            peer.send(new PieceMessage.Reply(number, result("own")));
                            peer.read();
                        })) {
            PieceLink link = link(instance);
            assertEquals(result("fallback"), request(link));
            assertEquals(result("own"), request(link));
        }
    }

    private static PieceMessage.Request readRequest(FramePeer<PieceMessage> peer)
            throws IOException {
        while (true) {
            if (peer.read() instanceof PieceMessage.Request request) {
                return request;
            }
        }
    }

    private PieceLink link(ScriptedServer instance) {
        String[] address = instance.address().split(":");
        return new PieceLink(
                new HostPort(address[0], Integer.parseInt(address[1])),
                loop,
                MillisClock.monotonic(),
                EventLog.NONE,
                (piece, isNeeded, result) -> result.complete(result("fallback")),
                () -> true,
                () -> {});
    }

    private PieceResult request(PieceLink link) throws Exception {
        CompletableFuture<PieceResult> result = new CompletableFuture<>();
        loop.execute(() -> link.request(PIECE, () -> true, result));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static PieceResult result(String handle) {
        return new PieceResult.Completed(handle);
    }
}
