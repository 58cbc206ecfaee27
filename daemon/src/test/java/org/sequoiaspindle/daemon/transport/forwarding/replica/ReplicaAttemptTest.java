package org.sequoiaspindle.daemon.transport.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.replica.EvacuationRule;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.state.forwarding.Evacuations;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ClientRequest;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/** Guards against sending to a replica that was closed while the connection was being opened. */
final class ReplicaAttemptTest {

    private static final int TIMEOUT_MS = 20_000;
    private static final int END_OF_STREAM = -1;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final MillisClock clock = MillisClock.monotonic();
    private final ConnectionPool pool =
            new ConnectionPool(loop, NioSocketChannel.class, clock, bytes -> {});
    private final EventLoopWorker worker =
            new EventLoopWorker(loop, pool, new HttpCallClient(loop, pool));

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void nothingIsSentToAReplicaWhoseDataCentreWasEvacuatedMeanwhile() throws Exception {
        Evacuations evacuations =
                Evacuations.UNREAD.with(new Evacuations.Listing(Map.of("a", 1L), 1));
        ReplicaStatuses statuses = new ReplicaStatuses("a", new EvacuationRule(() -> evacuations));
        CompletableFuture<Object> withdrawn = new CompletableFuture<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Replica replica =
                    new Replica(
                            new ReplicaId("r", 1),
                            "service",
                            new HostPort("127.0.0.1", server.getLocalPort()),
                            "a",
                            1,
                            false);
            ReplicaAttempt attempt =
                    new ReplicaAttempt(
                            contextOf(statuses),
                            worker,
                            owner(withdrawn),
                            new AttemptTarget(replica, () -> true));
            loop.execute(attempt::start);
            assertReceivesNothing(server);
            assertEquals(replica, withdrawn.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, statuses.statusOf(replica).inFlight());
        }
    }

    /** Calls of pieces and releases are sent by this client. */
    @Test
    void callThatMayNotBeSentAnyMoreReachesNobodyAndCountsAsNotSent() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HttpCallClient.Call call =
                    new HttpCallClient.Call(
                            new ConnectionPool.Destination(
                                    new HostPort("127.0.0.1", server.getLocalPort()), "r"),
                            "POST",
                            "/",
                            Map.of(),
                            new byte[1],
                            TIMEOUT_MS,
                            1,
                            () -> false,
                            response -> true);
            var result = worker.httpClient().execute(call).toCompletableFuture();
            assertReceivesNothing(server);
            assertFalse(result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).getLeft().sent());
        }
    }

    private static void assertReceivesNothing(ServerSocket server) throws IOException {
        server.setSoTimeout(TIMEOUT_MS);
        try (Socket connection = server.accept()) {
            connection.setSoTimeout(TIMEOUT_MS);
            assertEquals(END_OF_STREAM, connection.getInputStream().read());
        }
    }

    private ForwardingContext contextOf(ReplicaStatuses statuses) {
        return new ForwardingContext(
                null,
                null,
                null,
                new ReplicaAnswerRecorder(statuses, clock, EventLog.NONE),
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                clock,
                EventLog.NONE);
    }

    /** Returns an owner that passes on whether the attempt was withdrawn or sent. */
    private static AttemptOwner owner(CompletableFuture<Object> withdrawn) {
        RequestMetadata metadata =
                new RequestMetadata(
                        "id",
                        "host",
                        "/",
                        1_000,
                        Optional.empty(),
                        List.of(),
                        0,
                        0,
                        List.of(),
                        Optional.empty());
        ClientRequest request = new ClientRequest(null, metadata, Unpooled.EMPTY_BUFFER, 0);
        return (AttemptOwner)
                Proxy.newProxyInstance(
                        AttemptOwner.class.getClassLoader(),
                        new Class<?>[] {AttemptOwner.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("request")) {
                                return request;
                            }
                            withdrawn.complete(
                                    method.getName().equals("attemptWithdrawn")
                                            ? arguments[0]
                                            : method.getName());
                            return null;
                        });
    }
}
