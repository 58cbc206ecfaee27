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

/** Guards against answers that are cut off or requests that are turned away by a planned stop. */
final class GracefulShutdownTest {

    private static final long DEADLINE_MS = 25_000;
    private static final int RUNNING = 10;

    /** Streams of the engine and payments take 3 s, longer than the grace time of an instance. */
    private static final int TOKENS = 60;

    private static final long TOKEN_MS = 50;
    private static final long PAYMENT_MS = 3000;
    private static final long GRACE_MS = 2000;
    private static final int ARRIVALS_AFTER_NOT_READY = 20;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final EngineServer ENGINE =
            INSTALLATION.with(
                    EngineServer.start(
                            EngineOptions.of(
                                    Map.of(
                                            "tokenMs",
                                            Long.toString(TOKEN_MS),
                                            "tokenGrowth",
                                            "0",
                                            "slots",
                                            "64"))));
    private static final ServiceServer FEES =
            INSTALLATION.with(
                    ServiceServer.start(
                            ServiceOptions.of(
                                    Map.of(
                                            "serviceMs",
                                            Long.toString(PAYMENT_MS),
                                            "slots",
                                            "64"))));
    private static final ServiceServer QUICK =
            INSTALLATION.with(
                    ServiceServer.start(
                            ServiceOptions.of(Map.of("serviceMs", "5", "slots", "64"))));

    private final TestCaller caller = new TestCaller("beta");

    @BeforeAll
    static void publish() {
        DaemonProcess publisher = INSTALLATION.start("publisher");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of(
                                "fees", List.of(FEES.address()),
                                "accounts", List.of(QUICK.address()),
                                "support", List.of(QUICK.address()),
                                "engines", List.of(ENGINE.address()))),
                publisher);
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @Test
    void everyRequestAcceptedBeforeOrDuringTheGraceTimeGetsItsWholeAnswer() {
        DaemonProcess instance =
                INSTALLATION.start("stopping", settings -> settings.put("drainGraceMs", GRACE_MS));
        INSTALLATION.awaitReady(instance);
        long streamsBefore = ENGINE.stats().get("started");
        List<Pending> pending = new ArrayList<>();
        for (int index = 0; index < RUNNING; index++) {
            pending.add(stream(instance, "early stream " + index));
            pending.add(payment(instance, "early payment " + index));
        }
        Await.until(
                "all early requests run",
                () ->
                        ENGINE.stats().get("started") == streamsBefore + RUNNING
                                && FEES.executions().ofInput("early payment " + (RUNNING - 1))
                                        == 1);
        instance.terminate();
        Await.until(
                "ready turned false",
                () -> {
                    pending.add(lookUp(instance, "arrival " + pending.size()));
                    return instance.readyStatus() != 200;
                });
        assertEquals(503, instance.readyStatus(), "the instance must say that it is not ready");
        pending.add(stream(instance, "late stream"));
        pending.add(payment(instance, "late payment"));
        for (int index = 0; index < ARRIVALS_AFTER_NOT_READY; index++) {
            Pending arrival = lookUp(instance, "late arrival " + index);
            pending.add(arrival);
            Await.value(arrival.reply());
        }
        pending.forEach(Pending::check);
        assertEquals(0, instance.exitCode());
    }

    @Test
    void lastAnswerIsSentWholeBeforeTheProcessEnds() {
        Map<String, DaemonProcess> instances =
                INSTALLATION.startReady("last-1", "last-2", "last-3", "last-4");
        List<Pending> pending = new ArrayList<>();
        long streamsBefore = ENGINE.stats().get("started");
        pending.add(stream(instances.get("last-1"), "last stream 1"));
        pending.add(stream(instances.get("last-2"), "last stream 2"));
        pending.add(whole(instances.get("last-3"), "last document"));
        pending.add(payment(instances.get("last-4"), "last payment"));
        Await.until(
                "the requests run",
                () ->
                        ENGINE.stats().get("started") == streamsBefore + 3
                                && FEES.executions().ofInput("last payment") == 1);
        instances.values().forEach(DaemonProcess::terminate);
        pending.forEach(Pending::check);
        instances.values().forEach(instance -> assertEquals(0, instance.exitCode()));
    }

    private Pending stream(DaemonProcess instance, String input) {
        return new Pending(
                input,
                caller.chat(instance, input, TOKENS, DEADLINE_MS),
                EngineServer.expectedAnswer(TestObjectSets.engineInput(input), TOKENS),
                TOKENS);
    }

    private Pending whole(DaemonProcess instance, String input) {
        return new Pending(
                input,
                caller.chatWhole(instance, input, TOKENS, DEADLINE_MS),
                EngineServer.expectedAnswer(TestObjectSets.engineInput(input), TOKENS),
                0);
    }

    private Pending payment(DaemonProcess instance, String input) {
        return new Pending(
                input,
                caller.pay(instance, input, TestCaller.newKey(), DEADLINE_MS),
                ServiceServer.expectedOutput("pay", input),
                0);
    }

    private Pending lookUp(DaemonProcess instance, String input) {
        return new Pending(
                input,
                caller.lookUp(instance, input, DEADLINE_MS),
                ServiceServer.expectedOutput("find", input),
                0);
    }

    /**
     * A request in progress.
     *
     * @param expected the answer that it must get
     * @param streamed number of tokens that its stream must have, 0 if it is not streamed
     */
    private record Pending(
            String input, CompletableFuture<CallerReply> reply, String expected, int streamed) {

        void check() {
            CallerReply got = Await.value(reply);
            assertFalse(got.isBroken(), input + ": " + got.failure());
            assertEquals("ANSWERED", got.outcome(), input + ": " + got.body());
            assertEquals(expected, got.answer(), input);
            if (streamed > 0) {
                assertEquals(streamed, got.tokens().size(), input);
                assertEquals(expected, got.streamed(), input);
                assertEquals("outcome", got.events().get(got.events().size() - 1), input);
            }
        }
    }
}
