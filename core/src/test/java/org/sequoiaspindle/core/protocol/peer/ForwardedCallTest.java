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
 * Tests that the result of a forwarded call never claims more about the execution of the call than
 * the forwarding instance can prove.
 */
final class ForwardedCallTest {

    private final PeerCluster cluster = PeerCluster.of(2, 1);
    private final PeerCluster.Instance caller = cluster.instance("dc0-0");
    private final PeerCluster.Instance runner = cluster.instance("dc1-0");
    private final List<EndpointCall> receivedCalls = new ArrayList<>();
    private final List<TokenSink> sinks = new ArrayList<>();
    private final CompletableFuture<CallResult> endpointResult = new CompletableFuture<>();
    private final AtomicInteger cancellations = new AtomicInteger();
    private final List<Token> tokens = new ArrayList<>();
    private boolean sinkAccepts = true;

    @BeforeEach
    void recordCallsWithoutCompletingThem() {
        runner.localEndpoints =
                (call, sink) -> {
                    receivedCalls.add(call);
                    sinks.add(sink);
                    return new EndpointExchange(endpointResult, cancellations::incrementAndGet);
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
        cluster.network.run(10);
        return exchange;
    }

    private static CallResult result(EndpointExchange exchange) {
        return exchange.result().toCompletableFuture().getNow(null);
    }

    @Test
    void tokensArriveInOrderBeforeTheResult() {
        EndpointExchange exchange = start("dc1-0", "hello");
        assertEquals(call("dc1-0", "hello"), receivedCalls.get(0));
        for (int i = 0; i < 3; i++) {
            sinks.get(0).accept(new Token(i, "t" + i));
        }
        CallResult completed =
                new CallResult.Completed(new RequestId("r1"), 1, "", 3, Option.none());
        endpointResult.complete(completed);
        cluster.network.run(10);
        assertEquals(List.of(new Token(0, "t0"), new Token(1, "t1"), new Token(2, "t2")), tokens);
        assertEquals(completed, result(exchange));
    }

    @Test
    void callWhoseLinkGoesSilentAfterSendingIsUnknown() {
        EndpointExchange exchange = start("dc1-0", "hello");
        cluster.network.isBlocked = (from, to) -> true;
        cluster.network.run(3_200);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertEquals(1, cancellations.get());
    }

    @Test
    void callWhoseLinkBreaksAfterSendingIsUnknown() {
        EndpointExchange exchange = start("dc1-0", "hello");
        runner.service.close();
        cluster.network.run(10);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
    }

    @Test
    void callWithoutALinkOrTooLargeForAFrameIsNotSent() {
        assertInstanceOf(CallResult.NotSent.class, result(start("elsewhere", "hello")));
        assertInstanceOf(
                CallResult.NotSent.class, result(start("dc1-0", "x".repeat(3 * 1024 * 1024))));
        assertTrue(receivedCalls.isEmpty());
    }

    @Test
    void drainingPeerRefusesWithoutRunningTheCall() {
        runner.state = PeerState.DRAINING;
        assertInstanceOf(CallResult.Refused.class, result(start("dc1-0", "hello")));
        assertTrue(receivedCalls.isEmpty());
    }

    @Test
    void cancellationReachesTheEndpoint() {
        EndpointExchange exchange = start("dc1-0", "hello");
        exchange.cancel();
        cluster.network.run(10);
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertEquals(1, cancellations.get());
    }

    @Test
    void callIsCancelledWhenTheSinkRejectsAToken() {
        EndpointExchange exchange = start("dc1-0", "hello");
        sinkAccepts = false;
        sinks.get(0).accept(new Token(0, "t"));
        sinks.get(0).accept(new Token(1, "t"));
        cluster.network.run(10);
        assertEquals(1, tokens.size());
        assertEquals(1, cancellations.get());
        assertInstanceOf(CallResult.Unknown.class, result(exchange));
        assertFalse(sinks.isEmpty());
    }

    @Test
    void resultTooLargeForAFrameIsReportedAsFailed() {
        EndpointExchange exchange = start("dc1-0", "hello");
        String output = "x".repeat(3 * 1024 * 1024);
        endpointResult.complete(
                new CallResult.Completed(new RequestId("r1"), 1, output, 0, Option.none()));
        cluster.network.run(10);
        assertInstanceOf(CallResult.Failed.class, result(exchange));
    }

    @Test
    void repeatedForwardRunsOnce() {
        cluster.network.delivery =
                (from, to, message) ->
                        message instanceof PeerMessage.Forward ? List.of(1L, 2L) : List.of(1L);
        start("dc1-0", "hello");
        assertEquals(1, receivedCalls.size());
    }
}
