package org.sequoiaspindle.daemon.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.ExecutorTimer;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.peer.LinkCallbacks;
import org.sequoiaspindle.core.protocol.peer.PeerLink;
import org.sequoiaspindle.core.protocol.peer.PeerMessage;
import org.sequoiaspindle.core.protocol.peer.PeerRuntime;
import org.sequoiaspindle.core.protocol.peer.PeerSecret;
import org.sequoiaspindle.core.protocol.peer.PeerService;
import org.sequoiaspindle.core.protocol.peer.PeerServiceDependencies;
import org.sequoiaspindle.core.protocol.peer.PeerSettings;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/** Tests the peer link on real sockets: handshake, large frames, and malformed input. */
final class TcpPeerTransportTest {

    private static final long TIMEOUT_SECONDS = 30;

    private final Closer closer = new Closer();
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

    private final ExecutorTimer timer = closer.register(new ExecutorTimer(2, "test"));

    @AfterEach
    void closeAll() {
        closer.close();
        executor.shutdownNow();
    }

    private final class TestPeer {
        final Queue<LogEvent> loggedEvents = new ConcurrentLinkedQueue<>();
        final AtomicLong controlBytes = new AtomicLong();
        final AtomicLong forwardedBytes = new AtomicLong();
        final CompletableFuture<String> receivedPart = new CompletableFuture<>();
        final String address;
        final PeerService service;
        volatile ActiveConfiguration activeConfiguration = ActiveConfiguration.none();

        TestPeer(String instance, String secret, Vector<String> peers) {
            TcpPeerTransport transport =
                    closer.register(
                            new TcpPeerTransport(
                                    (event, fields) -> loggedEvents.add(event),
                                    this::count,
                                    ByteCounter.NONE));
            InetSocketAddress anyAddress =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            address = "127.0.0.1:" + transport.bind(anyAddress).getPort();
            service =
                    closer.register(
                            new PeerService(
                                    new PeerSettings(
                                            instance,
                                            instance,
                                            address,
                                            1,
                                            PeerSecret.of(secret),
                                            peers),
                                    new PeerRuntime(
                                            transport,
                                            MillisClock.monotonic(),
                                            timer,
                                            bound -> ThreadLocalRandom.current().nextLong(bound),
                                            new NonceGenerator(),
                                            (event, fields) -> loggedEvents.add(event)),
                                    dependencies()));
            transport.startAccepting(service.acceptCallbacks());
            service.start();
        }

        private PeerServiceDependencies dependencies() {
            return new PeerServiceDependencies(
                    () -> CompletableFuture.completedFuture(Either.right(Vector.empty())),
                    () -> activeConfiguration,
                    (head, source) ->
                            source.fetch(Vector.of("d"))
                                    .thenAccept(
                                            parts ->
                                                    parts.forEach(
                                                            p ->
                                                                    receivedPart.complete(
                                                                            p.get("d").get()))),
                    (call, sink) -> {
                        sink.accept(new Token(0, call.input()));
                        return new EndpointExchange(
                                CompletableFuture.completedFuture(
                                        new CallResult.Completed(
                                                call.requestId(), 1, "", 1, Option.none())),
                                () -> {});
                    },
                    () -> PeerState.SERVING,
                    HashMap::empty);
        }

        private void count(ByteCounter.Traffic traffic, long bytes) {
            (traffic == ByteCounter.Traffic.CONTROL ? controlBytes : forwardedBytes)
                    .addAndGet(bytes);
        }

        boolean isLinkedTo(TestPeer otherPeer) {
            return service.reachablePeersIn(
                            otherPeer.service.membership().table().self().dataCentre())
                    .nonEmpty();
        }
    }

    /** Waits for a condition that other threads change. */
    private void await(String description, BooleanSupplier condition) throws InterruptedException {
        CountDownLatch met = new CountDownLatch(1);
        var polling =
                executor.scheduleAtFixedRate(
                        () -> {
                            if (condition.getAsBoolean()) {
                                met.countDown();
                            }
                        },
                        0,
                        10,
                        TimeUnit.MILLISECONDS);
        assertTrue(met.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), description);
        polling.cancel(false);
    }

    @Test
    void twoPeersCompleteTheHandshakeAndExchangeConfiguration() throws Exception {
        TestPeer firstPeer = new TestPeer("a", "secret", Vector.empty());
        TestPeer secondPeer = new TestPeer("b", "secret", Vector.of(firstPeer.address));
        await("link", () -> firstPeer.isLinkedTo(secondPeer) && secondPeer.isLinkedTo(firstPeer));
        String largePart = "x".repeat(1_000_000);
        ConfigurationHead head =
                new ConfigurationHead(
                        3,
                        "s",
                        "o",
                        0,
                        Vector.empty(),
                        Vector.of(new ConfigurationHead.PartReference("k", 0, "d")));
        firstPeer.activeConfiguration =
                new ActiveConfiguration(Option.of(head), HashMap.of("d", largePart));
        assertTrue(
                largePart.equals(secondPeer.receivedPart.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)));
        assertTrue(firstPeer.controlBytes.get() > 1_000_000);
        assertEquals(0, firstPeer.forwardedBytes.get());
    }

    @Test
    void callIsForwardedAndCountedAsForwardedTraffic() throws Exception {
        TestPeer firstPeer = new TestPeer("a", "secret", Vector.empty());
        TestPeer secondPeer = new TestPeer("b", "secret", Vector.of(firstPeer.address));
        await("link", () -> secondPeer.isLinkedTo(firstPeer));
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        EndpointCall call =
                new EndpointCall(
                        new RequestId("r"),
                        "o",
                        "s",
                        1,
                        "group",
                        firstPeer.address,
                        "hello",
                        1,
                        0,
                        "",
                        SizeClass.SHORT,
                        true,
                        1_000,
                        "");
        CallResult result =
                secondPeer
                        .service
                        .forwarder()
                        .call(call, tokens::add)
                        .result()
                        .toCompletableFuture()
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertInstanceOf(CallResult.Completed.class, result);
        assertEquals(new Token(0, "hello"), tokens.peek());
        assertTrue(secondPeer.forwardedBytes.get() > 0);
        assertTrue(secondPeer.forwardedBytes.get() < 1_000);
    }

    @Test
    void malformedAndUnauthenticatedFramesCloseOnlyTheConnectionThatSentThem() throws Exception {
        TestPeer firstPeer = new TestPeer("a", "secret", Vector.empty());
        TestPeer secondPeer = new TestPeer("b", "secret", Vector.of(firstPeer.address));
        await("link", () -> firstPeer.isLinkedTo(secondPeer));
        int port =
                Integer.parseInt(firstPeer.address.substring(firstPeer.address.indexOf(':') + 1));
        byte[] cancel = {(byte) 0x82, (byte) 0xa1, 't', 14, (byte) 0xa1, 'c', 1};
        Vector<byte[]> invalidInputs =
                Vector.of(
                        "GET / HTTP/1.1\r\n\r\n".getBytes(),
                        new byte[] {-1, -1, -1, -1, 0},
                        frame(new byte[] {(byte) 0xc1}),
                        ByteBuffer.allocate(4).putInt(1_000_000).array(),
                        frame(cancel));
        for (byte[] invalidInput : invalidInputs) {
            assertClosedAfter(port, invalidInput);
        }
        await(
                "log",
                () ->
                        firstPeer.loggedEvents.stream()
                                        .filter(LogEvent.PEER_REJECTED::equals)
                                        .count()
                                >= 5);
        assertTrue(firstPeer.isLinkedTo(secondPeer));
        assertEquals(
                1,
                secondPeer.loggedEvents.stream().filter(LogEvent.PEER_CONNECTED::equals).count());
    }

    private static byte[] frame(byte[] content) {
        return ByteBuffer.allocate(4 + content.length).putInt(content.length).put(content).array();
    }

    private static void assertClosedAfter(int port, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            socket.getOutputStream().write(bytes);
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void peerWithAnotherSecretIsRejectedAndLogged() throws Exception {
        TestPeer firstPeer = new TestPeer("a", "secret", Vector.empty());
        TestPeer peerWithOtherSecret = new TestPeer("b", "other", Vector.of(firstPeer.address));
        await("rejection", () -> firstPeer.loggedEvents.contains(LogEvent.PEER_REJECTED));
        assertTrue(
                !firstPeer.isLinkedTo(peerWithOtherSecret)
                        && !peerWithOtherSecret.isLinkedTo(firstPeer));
    }

    @Test
    void linkToAPeerThatDoesNotReadIsClosedOnceTheOutboundBufferIsFull() throws Exception {
        TcpPeerTransport transport =
                closer.register(
                        new TcpPeerTransport(EventLog.NONE, ByteCounter.NONE, ByteCounter.NONE));
        InetSocketAddress anyAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CompletableFuture<PeerLink> openedLink = new CompletableFuture<>();
        CountDownLatch linkClosed = new CountDownLatch(1);
        InetSocketAddress boundAddress = transport.bind(anyAddress);
        transport.startAccepting(
                new LinkCallbacks(
                        openedLink::complete,
                        (link, message) -> {},
                        link -> linkClosed.countDown(),
                        () -> {}));
        try (Socket socket = new Socket(boundAddress.getAddress(), boundAddress.getPort())) {
            PeerLink link = openedLink.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            PeerMessage largeMessage =
                    new PeerMessage.PartsReply(1, HashMap.of("d", "x".repeat(1_000_000)), true);
            int acceptedMessages = 0;
            while (acceptedMessages < 1_000 && link.sender().test(largeMessage)) {
                acceptedMessages++;
            }
            assertTrue(acceptedMessages < 1_000, "the buffer grew without bound");
            assertTrue(linkClosed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(socket.isConnected());
        }
    }
}
