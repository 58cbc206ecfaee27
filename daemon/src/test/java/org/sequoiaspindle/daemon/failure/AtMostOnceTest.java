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
 * Guards against executing a payment twice under one idempotency key. It could happen when an
 * instance is killed or paused, when the store is down, or when responses are lost.
 */
final class AtMostOnceTest {

    private static final long DEADLINE_MS = 15_000;
    private static final long SERVICE_MS = 20;

    /** Makes a call take 4 s, so that a test can inject further faults while the call runs. */
    private static final EndpointFault SLOW_FAULT = EndpointFault.slow(200);

    private static final PlatformFault LOST_CLAIM_RESPONSES =
            new PlatformFault(PlatformFault.Mode.EFFECT_WITHOUT_ANSWER, 0, "claim/");

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final PlatformServer PLATFORM = INSTALLATION.platform();
    private static final ServiceServer FEE_SERVICE =
            INSTALLATION.register(
                    ServiceServer.start(
                            ServiceOptions.of(
                                    Map.of(
                                            "serviceMs",
                                            Long.toString(SERVICE_MS),
                                            "slots",
                                            "64"))));
    private static final ServiceServer ACCOUNT_SERVICE =
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
                                List.of(FEE_SERVICE.address()),
                                "accounts",
                                List.of(ACCOUNT_SERVICE.address()))),
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
        FEE_SERVICE.setFault(EndpointFault.none());
    }

    @Test
    void paymentOfAKilledInstanceNeverRunsAgainAtAnother() {
        DaemonProcess firstInstance = instances.get("killed");
        FEE_SERVICE.setFault(SLOW_FAULT);
        CompletableFuture<CallerReply> interruptedReply =
                caller.pay(firstInstance, "killed", key, DEADLINE_MS);
        awaitExecution("killed");
        firstInstance.kill();
        assertTrue(Await.value(interruptedReply).isIncomplete());
        FEE_SERVICE.setFault(EndpointFault.none());
        for (int repeat = 0; repeat < 3; repeat++) {
            assertEquals("UNKNOWN", pay(secondInstance, "killed").outcome());
        }
        assertEquals(1, FEE_SERVICE.executionCounts().countForInput("killed"));
    }

    @Test
    void paymentOfAnInstanceKilledWhileTheStoreIsDownNeverRunsAgain() {
        DaemonProcess firstInstance = instances.get("killed-too");
        FEE_SERVICE.setFault(SLOW_FAULT);
        CompletableFuture<CallerReply> interruptedReply =
                caller.pay(firstInstance, "two faults", key, DEADLINE_MS);
        awaitExecution("two faults");
        PLATFORM.setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        firstInstance.kill();
        assertTrue(Await.value(interruptedReply).isIncomplete());
        FEE_SERVICE.setFault(EndpointFault.none());
        assertEquals("NOT_RUN", pay(secondInstance, "two faults").outcome());
        PLATFORM.setFault(PlatformFault.none());
        assertEquals("UNKNOWN", pay(secondInstance, "two faults").outcome());
        assertEquals(1, FEE_SERVICE.executionCounts().countForInput("two faults"));
    }

    @Test
    void paymentWhoseClaimGetsNoStoreResponseRunsOnceAndRepeatsGetTheRecordedOutcome() {
        PLATFORM.setFault(LOST_CLAIM_RESPONSES);
        CallerReply firstReply = pay(secondInstance, "lost answer");
        assertEquals("ANSWERED", firstReply.outcome());
        assertEquals(ServiceServer.expectedOutput("pay", "lost answer"), firstReply.answer());
        CallerReply repeatedReply = pay(secondInstance, "lost answer");
        assertEquals("ANSWERED", repeatedReply.outcome());
        assertEquals(firstReply.answer(), repeatedReply.answer());
        assertEquals(1, FEE_SERVICE.executionCounts().countForInput("lost answer"));
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
        assertEquals(0, FEE_SERVICE.executionCounts().countForInput("paused early"));
        pay(secondInstance, "paused early");
        assertTrue(FEE_SERVICE.executionCounts().countForInput("paused early") <= 1);
        firstInstance.kill();
    }

    @Test
    void claimOfAnInstancePausedDuringAPaymentStaysValid() {
        DaemonProcess firstInstance = instances.get("paused-late");
        FEE_SERVICE.setFault(SLOW_FAULT);
        long start = System.nanoTime();
        CompletableFuture<CallerReply> replyAfterResume =
                caller.pay(firstInstance, "paused late", key, 2000);
        awaitExecution("paused late");
        firstInstance.pause();
        FEE_SERVICE.setFault(EndpointFault.none());
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        Await.untilElapsed(start, 2500);
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        firstInstance.resume();
        assertEquals("UNKNOWN", Await.value(replyAfterResume).outcome());
        assertEquals("UNKNOWN", pay(secondInstance, "paused late").outcome());
        assertEquals(1, FEE_SERVICE.executionCounts().countForInput("paused late"));
        firstInstance.kill();
    }

    @Test
    void paymentIsNotRunWhileTheStoreIsDownAndOtherRequestsAreServed() {
        PLATFORM.setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        assertEquals("NOT_RUN", pay(secondInstance, "store down").outcome());
        assertEquals(0, FEE_SERVICE.executionCounts().countForInput("store down"));
        CallerReply lookUpReply =
                Await.value(caller.lookUp(secondInstance, "account", DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("find", "account"), lookUpReply.answer());
        PLATFORM.setFault(PlatformFault.none());
        assertEquals("ANSWERED", pay(secondInstance, "store down").outcome());
        assertEquals(1, FEE_SERVICE.executionCounts().countForInput("store down"));
    }

    @Test
    void paymentsSentToTwoInstancesRunAtMostOnceDespiteFaultsAndAKilledInstance() {
        DaemonProcess firstInstance = instances.get("killed-in-the-middle");
        PLATFORM.setFault(LOST_CLAIM_RESPONSES);
        FEE_SERVICE.setFault(
                EndpointFault.of(EndpointFault.Mode.CLOSE_BEFORE_ANSWER).withShare(0.5));
        List<String> keys = new ArrayList<>();
        List<CompletableFuture<CallerReply>> repliesBeforeKill = new ArrayList<>();
        long executionsBefore = FEE_SERVICE.executionCounts().total();
        for (int index = 0; index < 40; index++) {
            keys.add(TestCaller.newKey());
            repliesBeforeKill.add(
                    caller.pay(firstInstance, "storm " + index, keys.get(index), DEADLINE_MS));
            repliesBeforeKill.add(
                    caller.pay(secondInstance, "storm " + index, keys.get(index), DEADLINE_MS));
        }
        Await.until(
                "some payments run",
                () -> FEE_SERVICE.executionCounts().total() >= executionsBefore + 10);
        firstInstance.kill();
        repliesBeforeKill.forEach(Await::value);
        PLATFORM.setFault(PlatformFault.none());
        for (int index = 0; index < keys.size(); index++) {
            String input = "storm " + index;
            CallerReply lastReply =
                    Await.value(caller.pay(secondInstance, input, keys.get(index), DEADLINE_MS));
            assertTrue(
                    FEE_SERVICE.executionCounts().countForInput(input) <= 1, input + " ran twice");
            if (lastReply.isAnswered()) {
                assertEquals(ServiceServer.expectedOutput("pay", input), lastReply.answer());
                assertEquals(1, FEE_SERVICE.executionCounts().countForInput(input));
            }
            assertExecutedOnceIfAnswered(input, repliesBeforeKill.get(2 * index).join());
            assertExecutedOnceIfAnswered(input, repliesBeforeKill.get(2 * index + 1).join());
        }
    }

    private static void assertExecutedOnceIfAnswered(String input, CallerReply reply) {
        if (reply.isAnswered()) {
            assertEquals(ServiceServer.expectedOutput("pay", input), reply.answer());
            assertEquals(1, FEE_SERVICE.executionCounts().countForInput(input));
        }
    }

    private CallerReply pay(DaemonProcess instance, String input) {
        return Await.value(caller.pay(instance, input, key, DEADLINE_MS));
    }

    private static void awaitExecution(String input) {
        Await.until(input + " runs", () -> FEE_SERVICE.executionCounts().countForInput(input) == 1);
    }
}
