package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.EngineServer;
import org.sequoiaspindle.standins.transport.ServiceServer;

/** Guards against a graceful shutdown that cuts off responses or rejects requests. */
final class GracefulShutdownTest {

    private static final long DEADLINE_MS = 25_000;
    private static final int EARLY_REQUESTS = 10;

    /** Engine streams and payments take 3 s, longer than the grace period of an instance. */
    private static final int TOKENS = 60;

    private static final long TOKEN_MS = 50;
    private static final long PAYMENT_MS = 3000;
    private static final long GRACE_PERIOD_MS = 2000;
    private static final int ARRIVALS_AFTER_NOT_READY = 20;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final EngineServer ENGINE =
            INSTALLATION.register(
                    EngineServer.start(
                            EngineOptions.of(
                                    Map.of(
                                            "tokenMs",
                                            Long.toString(TOKEN_MS),
                                            "tokenGrowth",
                                            "0",
                                            "slots",
                                            "64"))));
    private static final ServiceServer FEE_SERVICE =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(
                                    Map.of(
                                            "serviceMs",
                                            Long.toString(PAYMENT_MS),
                                            "slots",
                                            "64"))));
    private static final ServiceServer QUICK_SERVICE =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(Map.of("serviceMs", "5", "slots", "64"))));

    private final TestCaller caller = new TestCaller("beta");

    @BeforeAll
    static void publish() {
        DaemonProcess publisher = INSTALLATION.start("publisher");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of(
                                "fees", List.of(FEE_SERVICE.address()),
                                "accounts", List.of(QUICK_SERVICE.address()),
                                "support", List.of(QUICK_SERVICE.address()),
                                "engines", List.of(ENGINE.address()))),
                publisher);
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @Test
    void everyRequestAcceptedBeforeOrDuringTheGracePeriodGetsItsWholeAnswer() {
        DaemonProcess instance =
                INSTALLATION.start(
                        "stopping", settings -> settings.put("drainGraceMs", GRACE_PERIOD_MS));
        INSTALLATION.awaitReady(instance);
        long streamsBefore = ENGINE.counters().get("started");
        List<InFlightRequest> inFlight = new ArrayList<>();
        for (int index = 0; index < EARLY_REQUESTS; index++) {
            inFlight.add(sendStream(instance, "early stream " + index));
            inFlight.add(sendPayment(instance, "early payment " + index));
        }
        Await.until(
                "all early requests run",
                () ->
                        ENGINE.counters().get("started") == streamsBefore + EARLY_REQUESTS
                                && FEE_SERVICE
                                                .executionCounts()
                                                .countForInput(
                                                        "early payment " + (EARLY_REQUESTS - 1))
                                        == 1);
        instance.terminate();
        Await.until(
                "ready turned false",
                () -> {
                    inFlight.add(sendLookUp(instance, "arrival " + inFlight.size()));
                    return instance.readyStatus() != 200;
                });
        assertEquals(503, instance.readyStatus(), "the instance must say that it is not ready");
        inFlight.add(sendStream(instance, "late stream"));
        inFlight.add(sendPayment(instance, "late payment"));
        for (int index = 0; index < ARRIVALS_AFTER_NOT_READY; index++) {
            InFlightRequest arrival = sendLookUp(instance, "late arrival " + index);
            inFlight.add(arrival);
            Await.value(arrival.pendingReply());
        }
        inFlight.forEach(InFlightRequest::assertAnswered);
        assertEquals(0, instance.exitCode());
    }

    @Test
    void lastAnswerIsSentWholeBeforeTheProcessEnds() {
        Map<String, DaemonProcess> instances =
                INSTALLATION.startAndAwaitReady("last-1", "last-2", "last-3", "last-4");
        List<InFlightRequest> inFlight = new ArrayList<>();
        long streamsBefore = ENGINE.counters().get("started");
        inFlight.add(sendStream(instances.get("last-1"), "last stream 1"));
        inFlight.add(sendStream(instances.get("last-2"), "last stream 2"));
        inFlight.add(sendWhole(instances.get("last-3"), "last document"));
        inFlight.add(sendPayment(instances.get("last-4"), "last payment"));
        Await.until(
                "the requests run",
                () ->
                        ENGINE.counters().get("started") == streamsBefore + 3
                                && FEE_SERVICE.executionCounts().countForInput("last payment")
                                        == 1);
        instances.values().forEach(DaemonProcess::terminate);
        inFlight.forEach(InFlightRequest::assertAnswered);
        instances.values().forEach(instance -> assertEquals(0, instance.exitCode()));
    }

    private InFlightRequest sendStream(DaemonProcess instance, String input) {
        return new InFlightRequest(
                input,
                caller.chat(instance, input, TOKENS, DEADLINE_MS),
                EngineServer.expectedAnswer(TestObjectSets.engineInput(input), TOKENS),
                TOKENS);
    }

    private InFlightRequest sendWhole(DaemonProcess instance, String input) {
        return new InFlightRequest(
                input,
                caller.chatWhole(instance, input, TOKENS, DEADLINE_MS),
                EngineServer.expectedAnswer(TestObjectSets.engineInput(input), TOKENS),
                0);
    }

    private InFlightRequest sendPayment(DaemonProcess instance, String input) {
        return new InFlightRequest(
                input,
                caller.pay(instance, input, TestCaller.newKey(), DEADLINE_MS),
                ServiceServer.expectedOutput("pay", input),
                0);
    }

    private InFlightRequest sendLookUp(DaemonProcess instance, String input) {
        return new InFlightRequest(
                input,
                caller.lookUp(instance, input, DEADLINE_MS),
                ServiceServer.expectedOutput("find", input),
                0);
    }

    /**
     * A request in flight and the expected response.
     *
     * @param expectedAnswer answer that the caller must get
     * @param streamedTokens expected number of streamed tokens, 0 if the response is not streamed
     */
    private record InFlightRequest(
            String input,
            CompletableFuture<CallerReply> pendingReply,
            String expectedAnswer,
            int streamedTokens) {

        void assertAnswered() {
            CallerReply reply = Await.value(pendingReply);
            assertFalse(reply.isIncomplete(), input + ": " + reply.failure());
            assertEquals("ANSWERED", reply.outcome(), input + ": " + reply.body());
            assertEquals(expectedAnswer, reply.answer(), input);
            if (streamedTokens > 0) {
                assertEquals(streamedTokens, reply.tokens().size(), input);
                assertEquals(expectedAnswer, reply.streamedText(), input);
                assertEquals("outcome", reply.events().get(reply.events().size() - 1), input);
            }
        }
    }
}
