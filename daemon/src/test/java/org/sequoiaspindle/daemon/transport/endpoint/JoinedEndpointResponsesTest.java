package org.sequoiaspindle.daemon.transport.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.transport.ScriptedServer;

/**
 * Guards against reading the cut copy of an endpoint's response and the response to the next call
 * as a single response, which has the status of the first and the body of the second.
 */
final class JoinedEndpointResponsesTest {

    private static final String RESULT =
            "{\"requestId\":\"r1\",\"attempt\":2,\"output\":\"o\",\"leaving\":false,"
                    + "\"load\":{\"running\":1,\"queued\":2,\"slots\":3}}";
    private static final String SUCCESS = "200 OK\r\nContent-Type: application/json";
    private static final String REFUSAL = "503 Busy\r\nSequoia-Not-Run: true";
    private static final EventLoopGroup EVENT_LOOPS =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterAll
    static void stopEventLoops() {
        EVENT_LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nDate: Sun"})
    void failureBehindTheBeginningOfACopyIsNotASuccess(String beginning) throws Exception {
        assertInstanceOf(
                CallResult.Unknown.class,
                secondResult(SUCCESS, beginning, "500 Error\r\nContent-Type: application/json"));
    }

    /** A call that is refused is sent again, so it would be executed twice. */
    @ParameterizedTest
    @ValueSource(strings = {"Date: Sun", "Server: "})
    void successBehindTheBeginningOfARefusalIsNotARefusal(String field) throws Exception {
        String beginning = "HTTP/1.1 " + REFUSAL + "\r\n" + field;
        assertInstanceOf(CallResult.Unknown.class, secondResult(REFUSAL, beginning, SUCCESS));
    }

    /** The bytes would become the beginning of the response to the next call. */
    @Test
    void connectionIsNotUsedAgainAfterTheBeginningOfACopy() throws Exception {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    while (!connection.readRequest().isEmpty()) {
                                        connection.respond(SUCCESS, RESULT);
                                        connection.write("HTTP/1.1 200 O");
                                    }
                                });
                HttpEndpointCaller caller = caller()) {
            for (int i = 0; i < 3; i++) {
                assertInstanceOf(CallResult.Completed.class, await(call(caller, server)));
                awaitIdleCount(caller, server, 0);
            }
            assertEquals(3, server.connections());
        }
    }

    /** Sends two calls on one connection; the copy begins after the second one was received. */
    private static CallResult secondResult(String first, String beginning, String second)
            throws Exception {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    connection.readRequest();
                                    connection.respond(first, RESULT);
                                    connection.readRequest();
                                    connection.write(beginning);
                                    connection.respond(second, RESULT);
                                });
                HttpEndpointCaller caller = caller()) {
            await(call(caller, server));
            awaitIdleCount(caller, server, 1);
            CallResult result = await(call(caller, server));
            assertEquals(1, server.connections());
            return result;
        }
    }

    private static HttpEndpointCaller caller() {
        return new HttpEndpointCaller(EVENT_LOOPS, new EndpointTimeouts(20_000, 20_000));
    }

    private static CompletionStage<CallResult> call(
            HttpEndpointCaller caller, ScriptedServer server) {
        return caller.call(
                        new EndpointCall(
                                new RequestId("r1"),
                                "acme",
                                "generate",
                                2,
                                "e1",
                                server.address(),
                                "input",
                                10,
                                0,
                                "",
                                SizeClass.SHORT,
                                false,
                                5000,
                                ""),
                        TokenSink.DISCARD)
                .result();
    }

    private static void awaitIdleCount(
            HttpEndpointCaller caller, ScriptedServer server, int count) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        while (caller.idleConnectionCount(server.address()) != count
                && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        assertEquals(count, caller.idleConnectionCount(server.address()));
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
    }
}
