package org.sequoiaspindle.core.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Tests that the result of a forwarded call never claims more than is known about its execution.
 */
final class ForwardedCallTest {

    private final PeerFleet fleet = PeerFleet.of(2, 1);
    private final PeerFleet.Node caller = fleet.node("dc0-0");
    private final PeerFleet.Node runner = fleet.node("dc1-0");
    private final List<EndpointCall> callsRun = new ArrayList<>();
    private final List<TokenSink> sinks = new ArrayList<>();
    private final CompletableFuture<CallResult> endpointResult = new CompletableFuture<>();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final List<Token> tokens = new ArrayList<>();
    private boolean sinkAccepts = true;

    @BeforeEach
    void recordCallsAndCompleteThemInTheTest() {
        runner.localEndpoints =
                (call, sink) -> {
                    callsRun.add(call);
                    sinks.add(sink);
                    return new EndpointExchange(endpointResult, cancelled::incrementAndGet);
                };
    }

    private static EndpointCall call(String address, String input) {
        return new EndpointCall(
                new RequestId("r1"),
                "org",
                "stage",
                1,
                "group",
                address,
                input,
                10,
                0,
                "",
                SizeClass.SHORT,
                true,
                1_000,
                "");
    }

    private EndpointExchange start(String address, String input) {
        EndpointExchange exchange =
                caller.service
                        .forwarder()
                        .call(call(address, input), token -> tokens.add(token) && sinkAccepts);
        fleet.network.run(10);
        return exchange;
    }

    private static CallResult result(EndpointExchange exchange) {
        return exchange.result().toCompletableFuture().getNow(null);
    }

    @Test
    void tokensArriveInOrderBeforeTheResult() {
        EndpointExchange exchange = start("dc1-0", "hello");
        assertEquals(call("dc1-0", "hello"), callsRun.get(0));
        for (int i = 0; i < 3; i++) {
            sinks.get(0).accept(new Token(i, "t" + i));
        }
        CallResult completed =
                new CallResult.Completed(new RequestId("r1"), 1, "", 3, Option.none());
        endpointResult.complete(completed);
        fleet.network.run(10);
        assertEquals(List.of(new Token(0, "t0"), new Token(1, "t1"), new Token(2, "t2")), tokens);
        assertEquals(completed, result(exchange));
    }

    @Test
    void callWhoseLinkGoesSilentAfterSendingIsUnknown() {
        EndpointExchange exchange = start("dc1-0", "hello");
        fleet.network.blocked = (from, to) -> true;
        fleet.network.run(3_200);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertEquals(1, cancelled.get());
    }

    @Test
    void callWhoseLinkBreaksAfterSendingIsUnknown() {
        EndpointExchange exchange = start("dc1-0", "hello");
        runner.service.close();
        fleet.network.run(10);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
    }

    @Test
    void callWithoutALinkOrTooLargeForAFrameIsNotSent() {
        assertInstanceOf(CallResult.NotSent.class, result(start("elsewhere", "hello")));
        assertInstanceOf(
                CallResult.NotSent.class, result(start("dc1-0", "x".repeat(3 * 1024 * 1024))));
        assertTrue(callsRun.isEmpty());
    }

    @Test
    void drainingPeerRefusesWithoutRunningTheCall() {
        runner.state = PeerState.DRAINING;
        assertInstanceOf(CallResult.Refused.class, result(start("dc1-0", "hello")));
        assertTrue(callsRun.isEmpty());
    }

    @Test
    void cancelReachesTheEndpoint() {
        EndpointExchange exchange = start("dc1-0", "hello");
        exchange.cancel();
        fleet.network.run(10);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertEquals(1, cancelled.get());
    }

    @Test
    void callIsCancelledWhenTheSinkRejectsItsTokens() {
        EndpointExchange exchange = start("dc1-0", "hello");
        sinkAccepts = false;
        sinks.get(0).accept(new Token(0, "t"));
        sinks.get(0).accept(new Token(1, "t"));
        fleet.network.run(10);
        assertEquals(1, tokens.size());
        assertEquals(1, cancelled.get());
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertFalse(sinks.isEmpty());
    }

    @Test
    void answerTooLargeForAFrameIsReportedAsFailed() {
        EndpointExchange exchange = start("dc1-0", "hello");
        String output = "x".repeat(3 * 1024 * 1024);
        endpointResult.complete(
                new CallResult.Completed(new RequestId("r1"), 1, output, 0, Option.none()));
        fleet.network.run(10);
        assertInstanceOf(CallResult.Failed.class, result(exchange));
    }

    @Test
    void repeatedForwardRunsOnce() {
        fleet.network.delivery =
                (from, to, message) ->
                        message instanceof PeerMessage.Forward ? List.of(1L, 2L) : List.of(1L);
        start("dc1-0", "hello");
        assertEquals(1, callsRun.size());
    }
}
