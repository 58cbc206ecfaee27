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

    /** One endpoint for each test, and one endpoint that does not leave. */
    private static final List<ServiceServer> ACCOUNT_SERVICES =
            IntStream.range(0, 4).mapToObj(index -> service()).toList();

    private static DaemonProcess firstInstance;
    private static DaemonProcess secondInstance;

    private final TestCaller caller = new TestCaller("alpha");

    @BeforeAll
    static void publish() {
        firstInstance = INSTALLATION.start("first");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of(
                                "accounts",
                                ACCOUNT_SERVICES.stream().map(ServiceServer::address).toList())),
                firstInstance);
        secondInstance = INSTALLATION.startAndAwaitReady("second").get("second");
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
    void endpointWhoseResponsesFlagItAsLeavingGetsNoNewCallsFromAnyInstance() {
        assertNoNewCallsAfterLeaving(
                ACCOUNT_SERVICES.get(0), () -> ACCOUNT_SERVICES.get(0).setLeaving(true));
    }

    @Test
    void endpointThatThePlatformListsAsLeavingGetsNoNewCalls() {
        ServiceServer leavingEndpoint = ACCOUNT_SERVICES.get(1);
        assertNoNewCallsAfterLeaving(
                leavingEndpoint,
                () ->
                        INSTALLATION
                                .platform()
                                .setInstances(
                                        List.of(
                                                new ListedInstance(
                                                        "endpoint",
                                                        leavingEndpoint.address(),
                                                        TestObjectSets.DATA_CENTRE,
                                                        true)),
                                        1000));
    }

    @Test
    void endpointThatFlagsItselfAsLeavingWhileThePlatformIsDownGetsNoNewCalls() {
        INSTALLATION.platform().setFault(PlatformFault.of(PlatformFault.Mode.DOWN));
        assertNoNewCallsAfterLeaving(
                ACCOUNT_SERVICES.get(2), () -> ACCOUNT_SERVICES.get(2).setLeaving(true));
    }

    private void assertNoNewCallsAfterLeaving(
            ServiceServer leavingEndpoint, Runnable announceLeaving) {
        Await.until("the endpoint gets calls", () -> sendBurst(firstInstance, leavingEndpoint) > 0);
        Await.until(
                "the endpoint gets calls", () -> sendBurst(secondInstance, leavingEndpoint) > 0);
        long leavingNanos = System.nanoTime();
        announceLeaving.run();
        long lastCallAt = lastCallAt(firstInstance, leavingEndpoint);
        assertTrue(
                lastCallAt - leavingNanos < MAX_PROPAGATION_TIME.toNanos(),
                "new calls after the maximum propagation time");
        // The second instance has sent no calls since the endpoint was flagged, so it must have
        // learned of the flag from the first instance or the platform, not from the endpoint.
        for (int repeat = 0; repeat < 10; repeat++) {
            assertEquals(0, sendBurst(secondInstance, leavingEndpoint));
            assertEquals(0, sendBurst(firstInstance, leavingEndpoint));
        }
    }

    /**
     * Sends requests until no call has reached the endpoint for the time {@link #QUIET_PERIOD}.
     * Returns the time at which the last call reached the endpoint, in nanoseconds.
     */
    private long lastCallAt(DaemonProcess instance, ServiceServer endpoint) {
        AtomicLong lastCallAt = new AtomicLong(System.nanoTime());
        Await.until(
                "no new calls for " + QUIET_PERIOD,
                () -> {
                    if (sendBurst(instance, endpoint) > 0) {
                        lastCallAt.set(System.nanoTime());
                    }
                    return System.nanoTime() - lastCallAt.get() > QUIET_PERIOD.toNanos();
                });
        return lastCallAt.get();
    }

    /**
     * Sends requests and asserts that all are answered; returns the number of calls that reached
     * the endpoint.
     */
    private long sendBurst(DaemonProcess instance, ServiceServer endpoint) {
        long callsBefore = endpoint.executionCounts().total();
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < BURST; index++) {
            replies.add(caller.lookUp(instance, "account " + index, DEADLINE_MS));
        }
        for (int index = 0; index < BURST; index++) {
            CallerReply reply = Await.value(replies.get(index));
            assertEquals("ANSWERED", reply.outcome(), reply.toString());
            assertEquals(ServiceServer.expectedOutput("find", "account " + index), reply.answer());
        }
        return endpoint.executionCounts().total() - callsBefore;
    }

    private static ServiceServer service() {
        return INSTALLATION.register(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "10", "slots", "64"))));
    }
}
