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

/** Guards against new work for an endpoint that is about to stop. */
final class LeavingEndpointTest {

    private static final long DEADLINE_MS = 10_000;
    private static final int BURST = 20;

    /** The design allows 5 s for the platform's list and 1 s for a heartbeat; the rest is load. */
    private static final Duration BOUND = Duration.ofSeconds(15);

    /** Longer than the other instance takes to hear of a flag by a heartbeat. */
    private static final Duration QUIET = Duration.ofSeconds(3);

    private static final TestInstallation INSTALLATION = new TestInstallation();

    /** One endpoint for each test and one that stays. */
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
        second = INSTALLATION.startReady("second").get("second");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void heal() {
        INSTALLATION.platform().fault(PlatformFault.none());
    }

    @Test
    void endpointThatFlagsItselfInItsAnswersGetsNoNewWorkFromAnyInstance() {
        checkLeaves(ACCOUNTS.get(0), () -> ACCOUNTS.get(0).leaving(true));
    }

    @Test
    void endpointThatThePlatformListsAsLeavingGetsNoNewWork() {
        ServiceServer leaving = ACCOUNTS.get(1);
        checkLeaves(
                leaving,
                () ->
                        INSTALLATION
                                .platform()
                                .instances(
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
        INSTALLATION.platform().fault(PlatformFault.of(PlatformFault.Mode.DOWN));
        checkLeaves(ACCOUNTS.get(2), () -> ACCOUNTS.get(2).leaving(true));
    }

    private void checkLeaves(ServiceServer leaving, Runnable flag) {
        Await.until("the endpoint has work", () -> burst(first, leaving) > 0);
        Await.until("the endpoint has work", () -> burst(second, leaving) > 0);
        long flaggedAt = System.nanoTime();
        flag.run();
        long lastCallAt = lastCallAt(first, leaving);
        assertTrue(lastCallAt - flaggedAt < BOUND.toNanos(), "new work after the bound");
        // The second instance sent nothing meanwhile: it must know the flag without an answer of
        // the endpoint.
        for (int repeat = 0; repeat < 10; repeat++) {
            assertEquals(0, burst(second, leaving));
            assertEquals(0, burst(first, leaving));
        }
    }

    /** Sends requests until none reaches the endpoint for the quiet time. */
    private long lastCallAt(DaemonProcess instance, ServiceServer endpoint) {
        AtomicLong lastCallAt = new AtomicLong(System.nanoTime());
        Await.until(
                "no new work for " + QUIET,
                () -> {
                    if (burst(instance, endpoint) > 0) {
                        lastCallAt.set(System.nanoTime());
                    }
                    return System.nanoTime() - lastCallAt.get() > QUIET.toNanos();
                });
        return lastCallAt.get();
    }

    /** Sends requests, all of which must be answered; gives the calls that reached the endpoint. */
    private long burst(DaemonProcess instance, ServiceServer endpoint) {
        long before = endpoint.executions().total();
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < BURST; index++) {
            replies.add(caller.lookUp(instance, "account " + index, DEADLINE_MS));
        }
        for (int index = 0; index < BURST; index++) {
            CallerReply reply = Await.value(replies.get(index));
            assertEquals("ANSWERED", reply.outcome(), reply.toString());
            assertEquals(ServiceServer.expectedOutput("find", "account " + index), reply.answer());
        }
        return endpoint.executions().total() - before;
    }

    private static ServiceServer service() {
        return INSTALLATION.with(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "10", "slots", "64"))));
    }
}
