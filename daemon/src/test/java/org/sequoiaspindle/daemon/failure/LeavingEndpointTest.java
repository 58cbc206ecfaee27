package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.ServiceServer;

/** Guards against new calls to an endpoint that has announced that it is leaving. */
final class LeavingEndpointTest {

    private static final long DEADLINE_MS = 10_000;
    private static final int BURST = 20;

    /**
     * The design allows 5 s for the platform's instance list and 1 s for a heartbeat; the rest is a
     * margin for a loaded machine.
     */
    private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(15);

    /** Longer than the other instance takes to learn of the leaving flag from a heartbeat. */
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(3);

    private static final TestInstallation INSTALLATION = new TestInstallation();

    /** One endpoint for each test and one that does not leave. */
    private static final List<ServiceServer> ACCOUNTS =
            IntStream.range(0, 4).mapToObj(index -> service()).toList();

    private static DaemonProcess first;
    private static DaemonProcess second;

    private final TestCaller caller = new TestCaller("alpha");

    @BeforeAll
    static void publish() {
        first = INSTALLATION.start("first");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of("accounts", ACCOUNTS.stream().map(ServiceServer::address).toList())),
                first);
        second = INSTALLATION.startAndAwaitReady("second").get("second");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void clearFaults() {
        INSTALLATION.platform().setFault(PlatformFault.none());
    }

    @Test
    void endpointThatFlagsItselfInItsAnswersGetsNoNewWorkFromAnyInstance() {
        assertNoNewCallsAfterLeaving(ACCOUNTS.get(0), () -> ACCOUNTS.get(0).setLeaving(true));
    }

    @Test
    void endpointThatThePlatformListsAsLeavingGetsNoNewWork() {
        ServiceServer leaving = ACCOUNTS.get(1);
        assertNoNewCallsAfterLeaving(
                leaving,
                () ->
                        INSTALLATION
                                .platform()
                                .setInstances(
                                        List.of(
                                                new ListedInstance(
                                                        "endpoint",
                                                        leaving.address(),
                                                        TestObjectSets.DATA_CENTRE,
                                                        true)),
                                        1000));
    }

    @Test
    void endpointThatFlagsItselfWhileThePlatformIsDownGetsNoNewWork() {
        INSTALLATION.platform().setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        assertNoNewCallsAfterLeaving(ACCOUNTS.get(2), () -> ACCOUNTS.get(2).setLeaving(true));
    }

    private void assertNoNewCallsAfterLeaving(ServiceServer leaving, Runnable announceLeaving) {
        Await.until("the endpoint has work", () -> sendBurst(first, leaving) > 0);
        Await.until("the endpoint has work", () -> sendBurst(second, leaving) > 0);
        long leavingAt = System.nanoTime();
        announceLeaving.run();
        long lastCallAt = lastCallAt(first, leaving);
        assertTrue(
                lastCallAt - leavingAt < MAX_PROPAGATION_TIME.toNanos(),
                "new work after the bound");
        // The second instance has sent no calls since the endpoint was flagged, so it must have
        // learned of the flag from the first instance or the platform, not from the endpoint.
        for (int repeat = 0; repeat < 10; repeat++) {
            assertEquals(0, sendBurst(second, leaving));
            assertEquals(0, sendBurst(first, leaving));
        }
    }

    /**
     * Sends requests until none has reached the endpoint for the time {@link #QUIET_PERIOD};
     * returns when the last one reached it.
     */
    private long lastCallAt(DaemonProcess instance, ServiceServer endpoint) {
        AtomicLong lastCallAt = new AtomicLong(System.nanoTime());
        Await.until(
                "no new work for " + QUIET_PERIOD,
                () -> {
                    if (sendBurst(instance, endpoint) > 0) {
                        lastCallAt.set(System.nanoTime());
                    }
                    return System.nanoTime() - lastCallAt.get() > QUIET_PERIOD.toNanos();
                });
        return lastCallAt.get();
    }

    /**
     * Sends requests, all of which must be answered; returns the number of calls that reached the
     * endpoint.
     */
    private long sendBurst(DaemonProcess instance, ServiceServer endpoint) {
        long before = endpoint.executionCounts().total();
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < BURST; index++) {
            replies.add(caller.lookUp(instance, "account " + index, DEADLINE_MS));
        }
        for (int index = 0; index < BURST; index++) {
            CallerReply reply = Await.value(replies.get(index));
            assertEquals("ANSWERED", reply.outcome(), reply.toString());
            assertEquals(ServiceServer.expectedOutput("find", "account " + index), reply.answer());
        }
        return endpoint.executionCounts().total() - before;
    }

    private static ServiceServer service() {
        return INSTALLATION.register(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "10", "slots", "64"))));
    }
}
