package org.sequoiaspindle.daemon.transport.forwarding.piece;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.piece.BatchSelection;
import org.sequoiaspindle.core.coordination.forwarding.piece.Piece;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.HttpDialect;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.RegistryWatcher;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.protocol.forwarding.StageCodec;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.BatchSpec;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;
import org.sequoiaspindle.daemon.transport.ScriptedServer;
import org.sequoiaspindle.daemon.transport.forwarding.replica.ReplicaHandleReleaser;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.HttpCallClient;

/** Guards against taking a late copy of a response for the response to another call of pieces. */
final class ReplicaPieceClientTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final BatchSpec SPEC = new BatchSpec(1, 2, 4, 20, 1, 1_000_000, 4_000);
    private static final String REPLICA_PREFIX = "servers/";
    private static final String LOAD = "Load";
    private static final long NOW = 0;
    private static final double DELTA = 1e-9;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final MillisClock clock = MillisClock.monotonic();
    private final ConnectionPool pool =
            new ConnectionPool(loop, NioSocketChannel.class, clock, bytes -> {});
    private final EventLoopWorker worker =
            new EventLoopWorker(loop, pool, new HttpCallClient(loop, pool));
    private final TextStageCodec codec = new TextStageCodec();
    private final ReplicaStatuses statuses = new ReplicaStatuses("a");
    private final ReplicaPieceClient client =
            new ReplicaPieceClient(
                    worker.httpClient(),
                    new ReplicaAnswerRecorder(statuses, () -> NOW, EventLog.NONE),
                    new HttpDialect(
                            (target, field) -> Either.left("not used"),
                            (request, setField) -> {},
                            ReplicaPieceClientTest::readHead,
                            Set.of(),
                            ""),
                    codec,
                    clock);

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** The true response to the release would otherwise be read by the next call of pieces. */
    @Test
    void copyOfAPieceResponseThatAnswersAReleaseDoesNotFailTheNextCall() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(ReplicaPieceClientTest::answerReleasesWithCopies)) {
            Replica replica = replicaAt(server);
            List<String> results = handles(execute(replica, 1));
            release(replica, results);
            assertEquals(1, handles(execute(replica, 1)).size());
        }
    }

    /** The copy has more results of later calls before it than the client remembers. */
    @Test
    void copyOfAResponseBeforeManyLaterResultsIsNotUsed() throws Exception {
        int piecesOfACall = 100;
        int lastCall = 12;
        try (ScriptedServer server =
                new ScriptedServer(
                        connection -> {
                            String first = results(connection, 1, piecesOfACall);
                            for (int call = 1; !connection.readRequest().isEmpty(); call++) {
                                connection.respond(
                                        "200 OK",
                                        call == lastCall
                                                ? first
                                                : results(connection, call, piecesOfACall));
                            }
                        })) {
            Replica replica = replicaAt(server);
            for (int call = 1; call < lastCall; call++) {
                assertEquals(piecesOfACall, handles(execute(replica, piecesOfACall)).size());
            }
            assertInstanceOf(ReplicaPieceClient.Failed.class, execute(replica, piecesOfACall));
        }
    }

    /** The third response is a copy of the first one, with the load of that time. */
    @Test
    void loadInACopyOfAResponseIsNotRecorded() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        connection -> {
                            for (int call = 1; !connection.readRequest().isEmpty(); call++) {
                                int answered = call == 3 ? 1 : call;
                                connection.respond(
                                        "200 OK\r\n" + LOAD + ": " + 10 * answered,
                                        results(connection, answered, 1));
                            }
                        })) {
            Replica replica = replicaAt(server);
            handles(execute(replica, 1));
            handles(execute(replica, 1));
            assertInstanceOf(ReplicaPieceClient.Failed.class, execute(replica, 1));
            assertEquals(20, statuses.statusOf(replica).expectedLoad(NOW), DELTA);
        }
    }

    private static void answerReleasesWithCopies(ScriptedServer.Connection connection)
            throws IOException {
        String previous = "";
        boolean owesResponseToRelease = false;
        int call = 0;
        for (String request = connection.readRequest();
                !request.isEmpty();
                request = connection.readRequest()) {
            if (request.startsWith("POST /release")) {
                owesResponseToRelease = !previous.isEmpty();
                connection.respond("200 OK", previous);
                continue;
            }
            if (owesResponseToRelease) {
                owesResponseToRelease = false;
                connection.respond("200 OK", "");
            }
            call++;
            previous = results(connection, call, 1);
            connection.respond("200 OK", previous);
        }
    }

    private static String results(ScriptedServer.Connection connection, int call, int pieces) {
        String prefix =
                "127.0.0.1:"
                        + connection.socket().getLocalPort()
                        + "/"
                        + connection.number()
                        + "-"
                        + call
                        + "-";
        return IntStream.range(0, pieces)
                .mapToObj(piece -> prefix + piece)
                .collect(Collectors.joining(","));
    }

    private ReplicaPieceClient.Outcome execute(Replica replica, int pieces) throws Exception {
        long deadlineAt = clock.now() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        Piece piece =
                new Piece(
                        "r",
                        0,
                        0,
                        replica.service(),
                        "k",
                        List.of(),
                        1,
                        "",
                        deadlineAt,
                        deadlineAt,
                        1);
        BatchSelection.Batch batch =
                new BatchSelection.Batch(replica, Collections.nCopies(pieces, piece));
        return CompletableFuture.supplyAsync(() -> client.execute(SPEC, batch), loop)
                .thenCompose(Function.identity())
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static List<String> handles(ReplicaPieceClient.Outcome outcome) {
        return assertInstanceOf(ReplicaPieceClient.Responded.class, outcome).results().stream()
                .map(result -> ((PieceResult.Completed) result).handle())
                .toList();
    }

    private void release(Replica replica, List<String> handles) throws InterruptedException {
        CountDownLatch released = new CountDownLatch(1);
        new ReplicaHandleReleaser(
                        worker,
                        codec,
                        registryWith(replica),
                        ignored -> true,
                        (ignored, releasedHandles) -> released.countDown())
                .release(handles);
        assertTrue(released.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private Registry registryWith(Replica replica) throws InterruptedException {
        Registry registry =
                new Registry(
                        new RegistryLayout(
                                "config",
                                REPLICA_PREFIX,
                                value -> Either.left("none"),
                                item -> Optional.of(replica)),
                        clock,
                        clock,
                        EventLog.NONE);
        CountDownLatch watching = new CountDownLatch(1);
        new RegistryWatcher(
                        command -> storeResult(command, watching),
                        new RegistryLayout(
                                "config",
                                REPLICA_PREFIX,
                                value -> Either.left("none"),
                                item -> Optional.of(replica)),
                        registry,
                        worker.timer())
                .start(0);
        assertTrue(watching.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return registry;
    }

    private static CompletionStage<StoreResult> storeResult(
            StoreCommand command, CountDownLatch watching) {
        if (command instanceof StoreCommand.AwaitChanges) {
            watching.countDown();
            return new CompletableFuture<>();
        }
        boolean listsReplicas =
                command instanceof StoreCommand.ListItems list
                        && list.prefix().equals(REPLICA_PREFIX);
        return CompletableFuture.completedFuture(
                new StoreResult.Listed(
                        listsReplicas
                                ? Vector.of(
                                        new StoreChange.Written(
                                                REPLICA_PREFIX + "r", StoreValue.ofString(""), 1))
                                : Vector.empty(),
                        false,
                        1));
    }

    private static Replica replicaAt(ScriptedServer server) {
        String[] address = server.address().split(":");
        return new Replica(
                new ReplicaId("r", 1),
                "encoder",
                new HostPort(address[0], Integer.parseInt(address[1])),
                "a",
                1,
                false);
    }

    private static ReplicaResponseHead readHead(
            int status, Function<String, Optional<String>> field) {
        return new ReplicaResponseHead(
                status,
                Optional.empty(),
                false,
                false,
                field.apply(LOAD).map(load -> new ReplicaLoad(Integer.parseInt(load), 0, 1, 100)),
                false,
                false,
                OptionalLong.empty());
    }

    /** Encodes results as their handles, separated by commas. */
    private static final class TextStageCodec implements StageCodec {

        @Override
        public String executePath() {
            return "/execute";
        }

        @Override
        public String releasePath() {
            return "/release";
        }

        @Override
        public Map<String, String> headerFields(Replica replica) {
            return Map.of();
        }

        @Override
        public byte[] encodeExecute(List<Piece> pieces, long now) {
            return new byte[0];
        }

        @Override
        public Either<String, List<PieceResult>> decodeResults(byte[] body, int pieces) {
            List<PieceResult> results =
                    Arrays.stream(new String(body, StandardCharsets.UTF_8).split(","))
                            .filter(handle -> !handle.isEmpty())
                            .<PieceResult>map(PieceResult.Completed::new)
                            .toList();
            return results.size() == pieces ? Either.right(results) : Either.left("other results");
        }

        @Override
        public byte[] encodeRelease(List<String> handles) {
            return String.join(",", handles).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public Optional<HostPort> replicaAddress(String handle) {
            String[] address = handle.substring(0, handle.indexOf('/')).split(":");
            return Optional.of(new HostPort(address[0], Integer.parseInt(address[1])));
        }
    }
}
