package org.sequoiaspindle.daemon.transport.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/** Guards against requests that wait for an instance already known to be unreachable. */
final class PieceLinkTest {

    private static final long TIMEOUT_SECONDS = 20;
    private static final Piece PIECE =
            new Piece("request", 0, 0, "encoder", "key", List.of(), 10, "", 9_000, 9_000, 1);

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Piece> fallbackPieces = new LinkedBlockingQueue<>();
    private final List<LogEvent> events = new CopyOnWriteArrayList<>();
    private final AtomicBoolean peerRegistered = new AtomicBoolean(true);
    private final CountDownLatch linkRemoved = new CountDownLatch(1);

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void unreachablePeerGetsNoRequestsUntilItCanBeReachedAgain() throws Exception {
        InetSocketAddress address = unusedAddress();
        PieceLink link = link(address);
        requestPiece(link);
        assertEquals(PIECE, fallbackPieces.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        TimeUnit.MILLISECONDS.sleep(
                2 * PieceLink.RECONNECT_INTERVAL_MS + PieceLink.RECONNECT_INTERVAL_MS / 2);
        assertFalse(link.isUsable());
        assertEquals(List.of(LogEvent.PEER_SUSPECTED), events);
        try (ServerSocket peer = new ServerSocket()) {
            peer.bind(address);
            peer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            peer.accept().close();
            assertTrue(linkRemoved.getCount() > 0);
        }
    }

    @Test
    void linkToAnUnregisteredPeerIsRemoved() throws Exception {
        PieceLink link = link(unusedAddress());
        peerRegistered.set(false);
        requestPiece(link);
        assertTrue(linkRemoved.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private PieceLink link(InetSocketAddress address) {
        return new PieceLink(
                new HostPort(address.getAddress().getHostAddress(), address.getPort()),
                loops.next(),
                MillisClock.monotonic(),
                (event, fields) -> events.add(event),
                (piece, isNeeded, result) -> fallbackPieces.add(piece),
                peerRegistered::get,
                linkRemoved::countDown);
    }

    private void requestPiece(PieceLink link) {
        loops.next().execute(() -> link.request(PIECE, () -> true, new CompletableFuture<>()));
    }

    /** Returns an address at which no process listens. */
    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }
}
