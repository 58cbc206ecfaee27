package org.sequoiaspindle.daemon.transport.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.transport.ScriptedServer;

/**
 * Guards against results that the response of an endpoint does not prove, and against leaking the
 * connections of aborted calls.
 */
final class HttpEndpointCallerTest {

    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String JSON_RESPONSE =
            "{\"requestId\":\"r1\",\"attempt\":2,\"output\":\"o\",\"leaving\":false,"
                    + "\"load\":{\"running\":1,\"queued\":2,\"slots\":3}}";
    private static final EndpointTimeouts LONG_TIMEOUTS = new EndpointTimeouts(20_000, 20_000);
    private static final EventLoopGroup EVENT_LOOPS =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    @AfterAll
    static void stopEventLoops() {
        EVENT_LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void callIsNotSentIfTheConnectionFails() {
        assertInstanceOf(
                CallResult.NotSent.class,
                result(LONG_TIMEOUTS, ScriptedServer.closedAddress(), false, TokenSink.DISCARD));
    }

    @Test
    void callToAMalformedAddressIsNotSent() {
        assertInstanceOf(
                CallResult.NotSent.class,
                result(LONG_TIMEOUTS, "no address", false, TokenSink.DISCARD));
    }

    @Test
    void callIsUnknownIfTheConnectionClosesAfterTheRequestWasWritten() {
        assertInstanceOf(
                CallResult.Unknown.class,
                resultOfScript(false, ScriptedServer.Connection::readRequest));
    }

    @Test
    void callWithACompleteResponseIsCompletedWithTheLoadReport() {
        CallResult result =
                resultOfScript(
                        false,
                        connection -> {
                            connection.readRequest();
                            connection.respond(
                                    "200 OK\r\nContent-Type: application/json", JSON_RESPONSE);
                        });
        assertEquals(
                new CallResult.Completed(
                        new RequestId("r1"),
                        2,
                        "o",
                        0,
                        Option.of(new EndpointLoadReport(1, 2, 3, false))),
                result);
    }

    @Test
    void callThatTheEndpointRefusesToRunIsRefused() {
        assertInstanceOf(
                CallResult.Refused.class,
                resultOfResponse("503 Busy\r\nSequoia-Not-Run: true", "{}"));
    }

    @Test
    void callWithAnErrorStatusIsFailedEvenIfTheBodyIsMalformed() {
        assertInstanceOf(CallResult.Failed.class, resultOfResponse("503 Busy", "{"));
        assertInstanceOf(CallResult.Failed.class, resultOfResponse("400 Bad", ""));
    }

    @Test
    void callWithAMalformedResponseIsUnknown() {
        assertInstanceOf(CallResult.Unknown.class, resultOfResponse("200 OK", "{\"output\":"));
        assertInstanceOf(CallResult.Unknown.class, resultOfResponse("302 Found", ""));
        assertInstanceOf(
                CallResult.Unknown.class,
                resultOfScript(
                        false,
                        connection -> {
                            connection.readRequest();
                            connection.write("no HTTP at all\r\n\r\n");
                        }));
    }

    @Test
    void streamedTokensArriveInOrderAndTheConnectionIsUsedAgain() throws Exception {
        ConcurrentLinkedQueue<Token> tokens = new ConcurrentLinkedQueue<>();
        try (ScriptedServer server = new ScriptedServer(HttpEndpointCallerTest::serveStreams);
                HttpEndpointCaller caller = new HttpEndpointCaller(EVENT_LOOPS, LONG_TIMEOUTS)) {
            for (int i = 0; i < 3; i++) {
                EndpointCall call = call(server.address(), true);
                CallResult result = await(caller.call(call, tokens::add).result());
                assertEquals(2, assertInstanceOf(CallResult.Completed.class, result).tokens());
                awaitIdle(caller, server.address());
            }
            assertEquals(1, server.connections());
        }
        assertEquals(6, tokens.size());
        assertEquals(new Token(0, "a"), tokens.peek());
    }

    @Test
    void callOnAPooledConnectionThatFailsIsUnknown() throws Exception {
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    connection.readRequest();
                                    connection.respond("200 OK", JSON_RESPONSE);
                                    connection.readRequest();
                                });
                HttpEndpointCaller caller = new HttpEndpointCaller(EVENT_LOOPS, LONG_TIMEOUTS)) {
            EndpointCall call = call(server.address(), false);
            await(caller.call(call, TokenSink.DISCARD).result());
            awaitIdle(caller, server.address());
            assertInstanceOf(
                    CallResult.Unknown.class, await(caller.call(call, TokenSink.DISCARD).result()));
            assertEquals(1, server.connections());
        }
    }

    @Test
    void callToASilentEndpointIsUnknownAndItsConnectionIsClosed() {
        assertClosedByCaller(new EndpointTimeouts(50, 20_000), TokenSink.DISCARD, "");
    }

    @Test
    void callWithAStalledStreamIsUnknownAndItsConnectionIsClosed() {
        assertClosedByCaller(
                new EndpointTimeouts(20_000, 50), TokenSink.DISCARD, STREAM_HEAD + chunk(token(0)));
    }

    @Test
    void sinkThatRejectsATokenClosesTheConnection() {
        assertClosedByCaller(LONG_TIMEOUTS, token -> false, STREAM_HEAD + chunk(token(0)));
    }

    @Test
    void oversizedEventClosesTheConnection() {
        assertClosedByCaller(
                LONG_TIMEOUTS,
                TokenSink.DISCARD,
                STREAM_HEAD + chunk("data: " + "x".repeat(70_000)));
    }

    @Test
    void oversizedBodyClosesTheConnection() {
        assertClosedByCaller(
                LONG_TIMEOUTS,
                TokenSink.DISCARD,
                "HTTP/1.1 500 Error\r\nContent-Length: 9000000\r\n\r\n" + "x".repeat(5_000_000));
    }

    @Test
    void cancelledCallIsUnknownAndItsConnectionIsClosed() throws Exception {
        CompletableFuture<String> firstRequest = new CompletableFuture<>();
        CompletableFuture<String> nextRequest = new CompletableFuture<>();
        try (ScriptedServer server =
                        new ScriptedServer(
                                connection -> {
                                    firstRequest.complete(connection.readRequest());
                                    nextRequest.complete(connection.readRequest());
                                });
                HttpEndpointCaller caller = new HttpEndpointCaller(EVENT_LOOPS, LONG_TIMEOUTS)) {
            EndpointExchange exchange =
                    caller.call(call(server.address(), true), TokenSink.DISCARD);
            assertTrue(await(firstRequest).contains("Sequoia-Request-Id: r1"));
            exchange.cancel();
            assertInstanceOf(CallResult.Unknown.class, await(exchange.result()));
            assertEquals("", await(nextRequest));
        }
    }

    private static void assertClosedByCaller(
            EndpointTimeouts timeouts, TokenSink sink, String response) {
        CompletableFuture<String> nextRequest = new CompletableFuture<>();
        try (ScriptedServer server =
                new ScriptedServer(
                        connection -> {
                            connection.readRequest();
                            try {
                                connection.write(response);
                                nextRequest.complete(connection.readRequest());
                            } catch (java.io.IOException e) {
                                nextRequest.complete("");
                            }
                        })) {
            CallResult result = result(timeouts, server.address(), true, sink);
            assertTrue(
                    result instanceof CallResult.Unknown || result instanceof CallResult.Failed,
                    result::toString);
            assertEquals("", await(nextRequest));
        }
    }

    private static void serveStreams(ScriptedServer.Connection connection)
            throws java.io.IOException {
        while (!connection.readRequest().isEmpty()) {
            connection.write(STREAM_HEAD + chunk(token(0)) + chunk(token(1)));
            connection.write(
                    chunk("event: end\ndata: {\"tokens\":2,\"requestId\":\"r1\",\"attempt\":2}\n\n")
                            + "0\r\n\r\n");
        }
    }

    private static String token(int position) {
        String text = position == 0 ? "a" : "b";
        return "event: token\ndata: {\"position\":" + position + ",\"text\":\"" + text + "\"}\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static CallResult resultOfResponse(String statusAndHeaders, String body) {
        return resultOfScript(
                false,
                connection -> {
                    connection.readRequest();
                    connection.respond(statusAndHeaders, body);
                });
    }

    private static CallResult resultOfScript(boolean streams, ScriptedServer.Script script) {
        try (ScriptedServer server = new ScriptedServer(script)) {
            return result(LONG_TIMEOUTS, server.address(), streams, TokenSink.DISCARD);
        }
    }

    private static CallResult result(
            EndpointTimeouts timeouts, String address, boolean streams, TokenSink sink) {
        try (HttpEndpointCaller caller = new HttpEndpointCaller(EVENT_LOOPS, timeouts)) {
            return await(caller.call(call(address, streams), sink).result());
        }
    }

    private static EndpointCall call(String address, boolean streams) {
        return new EndpointCall(
                new RequestId("r1"),
                "acme",
                "generate",
                2,
                "e1",
                address,
                "input",
                10,
                0,
                "",
                SizeClass.SHORT,
                streams,
                5000,
                "");
    }

    /**
     * Waits until the connection is idle. The result of a call is known before the last chunk
     * arrives, which makes the connection idle.
     */
    private static void awaitIdle(HttpEndpointCaller caller, String address) throws Exception {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        EVENT_LOOPS.scheduleAtFixedRate(
                () -> {
                    if (caller.idleConnectionCount(address) == 1) {
                        idle.complete(null);
                    }
                },
                0,
                1,
                TimeUnit.MILLISECONDS);
        await(idle);
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
    }
}
