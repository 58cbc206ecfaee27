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

/**
 * Guards against a payment that is executed twice under one idempotency key when instances are
 * killed or paused, the store is down, or responses are lost.
 */
final class AtMostOnceTest {

    private static final long DEADLINE_MS = 15_000;
    private static final long SERVICE_MS = 20;

    /** Slows a call down to 4 s, so that a test can inject further faults while it runs. */
    private static final EndpointFault SLOW = EndpointFault.slow(200);

    private static final PlatformFault LOST_CLAIM_ANSWERS =
            new PlatformFault(PlatformFault.Mode.EFFECT_WITHOUT_ANSWER, 0, "claim/");

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final PlatformServer PLATFORM = INSTALLATION.platform();
    private static final ServiceServer FEES =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(
                                    Map.of(
                                            "serviceMs",
                                            Long.toString(SERVICE_MS),
                                            "slots",
                                            "64"))));
    private static final ServiceServer ACCOUNTS =
            INSTALLATION.register(ServiceServer.start(ServiceOptions.of(Map.of())));
    private static DaemonProcess secondInstance;
    private static Map<String, DaemonProcess> instances;

    private final TestCaller caller = new TestCaller("alpha");
    private final String key = TestCaller.newKey();

    @BeforeAll
    static void publish() {
        secondInstance = INSTALLATION.start("second");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of(
                                "fees",
                                List.of(FEES.address()),
                                "accounts",
                                List.of(ACCOUNTS.address()))),
                secondInstance);
        instances =
                INSTALLATION.startAndAwaitReady(
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
    void clearFaults() {
        PLATFORM.setFault(PlatformFault.none());
        FEES.setFault(EndpointFault.none());
    }

    @Test
    void paymentOfAKilledInstanceNeverRunsAgainAtAnother() {
        DaemonProcess firstInstance = instances.get("killed");
        FEES.setFault(SLOW);
        CompletableFuture<CallerReply> interrupted =
                caller.pay(firstInstance, "killed", key, DEADLINE_MS);
        awaitExecution("killed");
        firstInstance.kill();
        assertTrue(Await.value(interrupted).isIncomplete());
        FEES.setFault(EndpointFault.none());
        for (int repeat = 0; repeat < 3; repeat++) {
            assertEquals("UNKNOWN", pay(secondInstance, "killed").outcome());
        }
        assertEquals(1, FEES.executionCounts().countForInput("killed"));
    }

    @Test
    void paymentOfAnInstanceKilledWhileTheStoreIsDownNeverRunsAgain() {
        DaemonProcess firstInstance = instances.get("killed-too");
        FEES.setFault(SLOW);
        CompletableFuture<CallerReply> interrupted =
                caller.pay(firstInstance, "two faults", key, DEADLINE_MS);
        awaitExecution("two faults");
        PLATFORM.setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        firstInstance.kill();
        assertTrue(Await.value(interrupted).isIncomplete());
        FEES.setFault(EndpointFault.none());
        assertEquals("NOT_RUN", pay(secondInstance, "two faults").outcome());
        PLATFORM.setFault(PlatformFault.none());
        assertEquals("UNKNOWN", pay(secondInstance, "two faults").outcome());
        assertEquals(1, FEES.executionCounts().countForInput("two faults"));
    }

    @Test
    void claimWithoutAnAnswerOfTheStoreRunsOnceAndRepeatsGetTheRecordedOutcome() {
        PLATFORM.setFault(LOST_CLAIM_ANSWERS);
        CallerReply answered = pay(secondInstance, "lost answer");
        assertEquals("ANSWERED", answered.outcome());
        assertEquals(ServiceServer.expectedOutput("pay", "lost answer"), answered.answer());
        CallerReply repeated = pay(secondInstance, "lost answer");
        assertEquals("ANSWERED", repeated.outcome());
        assertEquals(answered.answer(), repeated.answer());
        assertEquals(1, FEES.executionCounts().countForInput("lost answer"));
    }

    @Test
    void instancePausedBeforeItSendsDoesNotRunAPaymentPastItsDeadline() {
        DaemonProcess firstInstance = instances.get("paused-early");
        PLATFORM.setFault(new PlatformFault(PlatformFault.Mode.SLOW, 700, "claim/"));
        long writesBefore = PLATFORM.callCounts().get("write");
        long start = System.nanoTime();
        CompletableFuture<CallerReply> replyAfterResume =
                caller.pay(firstInstance, "paused early", key, 2000);
        Await.until("claim written", () -> PLATFORM.callCounts().get("write") > writesBefore);
        firstInstance.pause();
        PLATFORM.setFault(PlatformFault.none());
        assertEquals("UNKNOWN", pay(secondInstance, "paused early").outcome());
        Await.untilElapsed(start, 2500);
        firstInstance.resume();
        CallerReply reply = Await.value(replyAfterResume);
        assertTrue(Set.of("NOT_RUN", "UNKNOWN").contains(reply.outcome()), reply.toString());
        assertEquals(0, FEES.executionCounts().countForInput("paused early"));
        pay(secondInstance, "paused early");
        assertTrue(FEES.executionCounts().countForInput("paused early") <= 1);
        firstInstance.kill();
    }

    @Test
    void instancePausedWhileAPaymentRunsLeavesItsClaimInForce() {
        DaemonProcess firstInstance = instances.get("paused-late");
        FEES.setFault(SLOW);
        long start = System.nanoTime();
        CompletableFuture<CallerReply> replyAfterResume =
                caller.pay(firstInstance, "paused late", key, 2000);
        awaitExecution("paused late");
        firstInstance.pause();
        FEES.setFault(EndpointFault.none());
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        Await.untilElapsed(start, 2500);
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        firstInstance.resume();
        assertEquals("UNKNOWN", Await.value(replyAfterResume).outcome());
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        assertEquals(1, FEES.executionCounts().countForInput("paused late"));
        firstInstance.kill();
    }

    @Test
    void paymentIsNotRunWhileTheStoreIsDownAndOtherRequestsAreServed() {
        PLATFORM.setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        assertEquals("NOT_RUN", pay(secondInstance, "store down").outcome());
        assertEquals(0, FEES.executionCounts().countForInput("store down"));
        CallerReply other = Await.value(caller.lookUp(secondInstance, "account", DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("find", "account"), other.answer());
        PLATFORM.setFault(PlatformFault.none());
        assertEquals("ANSWERED", pay(secondInstance, "store down").outcome());
        assertEquals(1, FEES.executionCounts().countForInput("store down"));
    }

    @Test
    void paymentsSentEverywhereUnderStoreAndServiceFaultsAndAKillRunAtMostOnce() {
        DaemonProcess firstInstance = instances.get("killed-in-the-middle");
        PLATFORM.setFault(LOST_CLAIM_ANSWERS);
        FEES.setFault(EndpointFault.of(EndpointFault.Mode.CLOSE_BEFORE_ANSWER).withShare(0.5));
        List<String> keys = new ArrayList<>();
        List<CompletableFuture<CallerReply>> repliesBeforeKill = new ArrayList<>();
        long before = FEES.executionCounts().total();
        for (int index = 0; index < 40; index++) {
            keys.add(TestCaller.newKey());
            repliesBeforeKill.add(
                    caller.pay(firstInstance, "storm " + index, keys.get(index), DEADLINE_MS));
            repliesBeforeKill.add(
                    caller.pay(secondInstance, "storm " + index, keys.get(index), DEADLINE_MS));
        }
        Await.until("some payments run", () -> FEES.executionCounts().total() >= before + 10);
        firstInstance.kill();
        repliesBeforeKill.forEach(Await::value);
        PLATFORM.setFault(PlatformFault.none());
        for (int index = 0; index < keys.size(); index++) {
            String input = "storm " + index;
            CallerReply last =
                    Await.value(caller.pay(secondInstance, input, keys.get(index), DEADLINE_MS));
            assertTrue(FEES.executionCounts().countForInput(input) <= 1, input + " ran twice");
            if (last.isAnswered()) {
                assertEquals(ServiceServer.expectedOutput("pay", input), last.answer());
                assertEquals(1, FEES.executionCounts().countForInput(input));
            }
            assertExecutedOnceIfAnswered(input, repliesBeforeKill.get(2 * index).join());
            assertExecutedOnceIfAnswered(input, repliesBeforeKill.get(2 * index + 1).join());
        }
    }

    private static void assertExecutedOnceIfAnswered(String input, CallerReply reply) {
        if (reply.isAnswered()) {
            assertEquals(ServiceServer.expectedOutput("pay", input), reply.answer());
            assertEquals(1, FEES.executionCounts().countForInput(input));
        }
    }

    private CallerReply pay(DaemonProcess instance, String input) {
        return Await.value(caller.pay(instance, input, key, DEADLINE_MS));
    }

    private static void awaitExecution(String input) {
        Await.until(input + " runs", () -> FEES.executionCounts().countForInput(input) == 1);
    }
}
