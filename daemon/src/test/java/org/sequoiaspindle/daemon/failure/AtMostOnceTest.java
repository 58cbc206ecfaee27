package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.PlatformServer;
import org.sequoiaspindle.standins.transport.ServiceServer;

/** Guards against a payment that runs twice under one idempotency key. */
final class AtMostOnceTest {

    private static final long DEADLINE_MS = 15_000;
    private static final long SERVICE_MS = 20;

    /** Makes a call run for 4 s, in which a test can act. */
    private static final EndpointFault SLOW = EndpointFault.slow(200);

    private static final PlatformFault LOST_CLAIM_ANSWERS =
            new PlatformFault(PlatformFault.Mode.EFFECT_WITHOUT_ANSWER, 0, "claim/");

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final PlatformServer PLATFORM = INSTALLATION.platform();
    private static final ServiceServer FEES =
            INSTALLATION.with(
                    ServiceServer.start(
                            ServiceOptions.of(
                                    Map.of(
                                            "serviceMs",
                                            Long.toString(SERVICE_MS),
                                            "slots",
                                            "64"))));
    private static final ServiceServer ACCOUNTS =
            INSTALLATION.with(ServiceServer.start(ServiceOptions.of(Map.of())));
    private static DaemonProcess second;
    private static Map<String, DaemonProcess> instances;

    private final TestCaller caller = new TestCaller("alpha");
    private final String key = TestCaller.newKey();

    @BeforeAll
    static void publish() {
        second = INSTALLATION.start("second");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of(
                                "fees",
                                List.of(FEES.address()),
                                "accounts",
                                List.of(ACCOUNTS.address()))),
                second);
        instances =
                INSTALLATION.startReady(
                        "killed",
                        "killed-too",
                        "paused-early",
                        "paused-late",
                        "killed-in-the-middle");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void heal() {
        PLATFORM.fault(PlatformFault.none());
        FEES.fault(EndpointFault.none());
    }

    @Test
    void paymentOfAKilledInstanceNeverRunsAgainAtAnother() {
        DaemonProcess first = instances.get("killed");
        FEES.fault(SLOW);
        CompletableFuture<CallerReply> cutOff = caller.pay(first, "killed", key, DEADLINE_MS);
        awaitExecution("killed");
        first.kill();
        assertTrue(Await.value(cutOff).isBroken());
        FEES.fault(EndpointFault.none());
        for (int repeat = 0; repeat < 3; repeat++) {
            assertEquals("UNKNOWN", pay(second, "killed").outcome());
        }
        assertEquals(1, FEES.executions().ofInput("killed"));
    }

    @Test
    void paymentOfAnInstanceKilledWhileTheStoreIsDownNeverRunsAgain() {
        DaemonProcess first = instances.get("killed-too");
        FEES.fault(SLOW);
        CompletableFuture<CallerReply> cutOff = caller.pay(first, "two faults", key, DEADLINE_MS);
        awaitExecution("two faults");
        PLATFORM.fault(PlatformFault.of(PlatformFault.Mode.DOWN));
        first.kill();
        assertTrue(Await.value(cutOff).isBroken());
        FEES.fault(EndpointFault.none());
        assertEquals("NOT_RUN", pay(second, "two faults").outcome());
        PLATFORM.fault(PlatformFault.none());
        assertEquals("UNKNOWN", pay(second, "two faults").outcome());
        assertEquals(1, FEES.executions().ofInput("two faults"));
    }

    @Test
    void claimWithoutAnAnswerOfTheStoreRunsOnceAndRepeatsGetTheRecordedOutcome() {
        PLATFORM.fault(LOST_CLAIM_ANSWERS);
        CallerReply answered = pay(second, "lost answer");
        assertEquals("ANSWERED", answered.outcome());
        assertEquals(ServiceServer.expectedOutput("pay", "lost answer"), answered.answer());
        CallerReply repeated = pay(second, "lost answer");
        assertEquals("ANSWERED", repeated.outcome());
        assertEquals(answered.answer(), repeated.answer());
        assertEquals(1, FEES.executions().ofInput("lost answer"));
    }

    @Test
    void instancePausedBeforeItSendsDoesNotRunAPaymentPastItsDeadline() {
        DaemonProcess first = instances.get("paused-early");
        PLATFORM.fault(new PlatformFault(PlatformFault.Mode.SLOW, 700, "claim/"));
        long writesBefore = PLATFORM.calls().get("write");
        long start = System.nanoTime();
        CompletableFuture<CallerReply> late = caller.pay(first, "paused early", key, 2000);
        Await.until("claim written", () -> PLATFORM.calls().get("write") > writesBefore);
        first.pause();
        PLATFORM.fault(PlatformFault.none());
        assertEquals("UNKNOWN", pay(second, "paused early").outcome());
        Await.elapsed(start, 2500);
        first.resume();
        CallerReply reply = Await.value(late);
        assertTrue(Set.of("NOT_RUN", "UNKNOWN").contains(reply.outcome()), reply.toString());
        assertEquals(0, FEES.executions().ofInput("paused early"));
        pay(second, "paused early");
        assertTrue(FEES.executions().ofInput("paused early") <= 1);
        first.kill();
    }

    @Test
    void instancePausedWhileAPaymentRunsLeavesItsClaimInForce() {
        DaemonProcess first = instances.get("paused-late");
        FEES.fault(SLOW);
        long start = System.nanoTime();
        CompletableFuture<CallerReply> late = caller.pay(first, "paused late", key, 2000);
        awaitExecution("paused late");
        first.pause();
        FEES.fault(EndpointFault.none());
        assertEquals("UNKNOWN", pay(second, "paused late").outcome());
        Await.elapsed(start, 2500);
        assertEquals("UNKNOWN", pay(second, "paused late").outcome());
        first.resume();
        assertEquals("UNKNOWN", Await.value(late).outcome());
        assertEquals("UNKNOWN", pay(second, "paused late").outcome());
        assertEquals(1, FEES.executions().ofInput("paused late"));
        first.kill();
    }

    @Test
    void paymentIsNotRunWhileTheStoreIsDownAndOtherRequestsAreServed() {
        PLATFORM.fault(PlatformFault.of(PlatformFault.Mode.DOWN));
        assertEquals("NOT_RUN", pay(second, "store down").outcome());
        assertEquals(0, FEES.executions().ofInput("store down"));
        CallerReply other = Await.value(caller.lookUp(second, "account", DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("find", "account"), other.answer());
        PLATFORM.fault(PlatformFault.none());
        assertEquals("ANSWERED", pay(second, "store down").outcome());
        assertEquals(1, FEES.executions().ofInput("store down"));
    }

    @Test
    void paymentsSentEverywhereUnderStoreAndServiceFaultsAndAKillRunAtMostOnce() {
        DaemonProcess first = instances.get("killed-in-the-middle");
        PLATFORM.fault(LOST_CLAIM_ANSWERS);
        FEES.fault(EndpointFault.of(EndpointFault.Mode.CLOSE_BEFORE_ANSWER).withShare(0.5));
        List<String> keys = new ArrayList<>();
        List<CompletableFuture<CallerReply>> early = new ArrayList<>();
        long before = FEES.executions().total();
        for (int index = 0; index < 40; index++) {
            keys.add(TestCaller.newKey());
            early.add(caller.pay(first, "storm " + index, keys.get(index), DEADLINE_MS));
            early.add(caller.pay(second, "storm " + index, keys.get(index), DEADLINE_MS));
        }
        Await.until("some payments run", () -> FEES.executions().total() >= before + 10);
        first.kill();
        early.forEach(Await::value);
        PLATFORM.fault(PlatformFault.none());
        for (int index = 0; index < keys.size(); index++) {
            String input = "storm " + index;
            CallerReply last = Await.value(caller.pay(second, input, keys.get(index), DEADLINE_MS));
            assertTrue(FEES.executions().ofInput(input) <= 1, input + " ran twice");
            if (last.isAnswered()) {
                assertEquals(ServiceServer.expectedOutput("pay", input), last.answer());
                assertEquals(1, FEES.executions().ofInput(input));
            }
            checkEarly(input, early.get(2 * index).join());
            checkEarly(input, early.get(2 * index + 1).join());
        }
    }

    private static void checkEarly(String input, CallerReply reply) {
        if (reply.isAnswered()) {
            assertEquals(ServiceServer.expectedOutput("pay", input), reply.answer());
            assertEquals(1, FEES.executions().ofInput(input));
        }
    }

    private CallerReply pay(DaemonProcess instance, String input) {
        return Await.value(caller.pay(instance, input, key, DEADLINE_MS));
    }

    private static void awaitExecution(String input) {
        Await.until(input + " runs", () -> FEES.executions().ofInput(input) == 1);
    }
}
