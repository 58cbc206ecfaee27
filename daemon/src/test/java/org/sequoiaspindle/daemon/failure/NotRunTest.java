package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.ServiceServer;

/**
 * Guards against the outcome NOT_RUN for a payment that may have been executed. Callers may retry
 * after NOT_RUN, and a retry would execute the payment twice.
 */
final class NotRunTest {

    private static final long DEADLINE_MS = 10_000;
    private static final int PAYMENTS = 40;

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final ServiceServer REFUSING_SERVICE = service();
    private static final ServiceServer FAULTY_SERVICE = service();
    private static DaemonProcess instance;
    private static long generation;

    private final TestCaller caller = new TestCaller("gamma");

    @BeforeAll
    static void publish() {
        instance = INSTALLATION.start("entry");
        INSTALLATION.publishFirst(fees(REFUSING_SERVICE.address()), instance);
        generation = INSTALLATION.generation(instance);
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @AfterEach
    void clearFaults() {
        REFUSING_SERVICE.setFault(EndpointFault.none());
        FAULTY_SERVICE.setFault(EndpointFault.none());
    }

    @Test
    void paymentIsNotRunWhereEveryEndpointRefusesOrIsDownAndMayBeRepeatedUnderItsKey()
            throws IOException {
        publishFees(REFUSING_SERVICE.address(), addressWithoutListener());
        REFUSING_SERVICE.setFault(EndpointFault.of(Mode.REFUSE));
        List<String> keys = new ArrayList<>();
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < PAYMENTS; index++) {
            keys.add(TestCaller.newKey());
            replies.add(caller.pay(instance, "refused " + index, keys.get(index), DEADLINE_MS));
        }
        replies.forEach(reply -> assertEquals("NOT_RUN", Await.value(reply).outcome()));
        for (int index = 0; index < PAYMENTS; index++) {
            assertEquals(0, executionCount("refused " + index));
        }
        assertTrue(REFUSING_SERVICE.counters().get("refused") > 0);
        publishFees(FAULTY_SERVICE.address());
        CallerReply repeatedReply =
                Await.value(caller.pay(instance, "refused 0", keys.get(0), DEADLINE_MS));
        assertEquals(ServiceServer.expectedOutput("pay", "refused 0"), repeatedReply.answer());
        assertEquals(1, FAULTY_SERVICE.executionCounts().countForInput("refused 0"));
    }

    @Test
    void paymentThatRanWithoutAnAnswerIsUnknownAndNeverNotRun() throws IOException {
        publishFees(FAULTY_SERVICE.address());
        for (Mode mode : List.of(Mode.CLOSE_BEFORE_ANSWER, Mode.CUT, Mode.WRONG_ID)) {
            FAULTY_SERVICE.setFault(EndpointFault.of(mode));
            String input = mode + " keyed";
            String key = TestCaller.newKey();
            for (int repeat = 0; repeat < 2; repeat++) {
                CallerReply reply = Await.value(caller.pay(instance, input, key, DEADLINE_MS));
                assertEquals("UNKNOWN", reply.outcome(), input + ": " + reply.body());
            }
            assertEquals(1, FAULTY_SERVICE.executionCounts().countForInput(input), input);
            CallerReply reply = Await.value(caller.pay(instance, mode + " keyless", DEADLINE_MS));
            assertEquals("UNKNOWN", reply.outcome(), mode + ": " + reply.body());
            assertEquals(
                    1,
                    FAULTY_SERVICE.executionCounts().countForInput(mode + " keyless"),
                    mode.name());
        }
    }

    @Test
    void notRunMeansNoExecutionWhileRefusingDeadAndClosingEndpointsAreMixed() throws IOException {
        publishFees(REFUSING_SERVICE.address(), addressWithoutListener(), FAULTY_SERVICE.address());
        REFUSING_SERVICE.setFault(EndpointFault.of(Mode.REFUSE).withShare(0.5));
        FAULTY_SERVICE.setFault(EndpointFault.of(Mode.CLOSE_BEFORE_ANSWER).withShare(0.5));
        List<CompletableFuture<CallerReply>> replies = new ArrayList<>();
        for (int index = 0; index < PAYMENTS; index++) {
            replies.add(caller.pay(instance, "mixed " + index, DEADLINE_MS));
        }
        Set<String> outcomes = new TreeSet<>();
        for (int index = 0; index < PAYMENTS; index++) {
            CallerReply reply = Await.value(replies.get(index));
            outcomes.add(reply.outcome());
            long expectedExecutions = reply.outcome().equals("NOT_RUN") ? 0 : 1;
            assertEquals(
                    expectedExecutions, executionCount("mixed " + index), reply.body().toString());
            if (reply.isAnswered()) {
                assertEquals(ServiceServer.expectedOutput("pay", "mixed " + index), reply.answer());
            }
        }
        assertTrue(outcomes.containsAll(Set.of("ANSWERED", "UNKNOWN")), outcomes.toString());
    }

    private static long executionCount(String input) {
        return REFUSING_SERVICE.executionCounts().countForInput(input)
                + FAULTY_SERVICE.executionCounts().countForInput(input);
    }

    private static void publishFees(String... addresses) {
        var response =
                Await.value(INSTALLATION.publish(instance, "olga", fees(addresses), generation));
        assertEquals(200, response.statusCode(), response.body());
        generation = TestCaller.json(response.body()).path("generation").asLong();
        Await.until("new generation active", () -> INSTALLATION.generation(instance) == generation);
    }

    private static String fees(String... addresses) {
        return TestObjectSets.of(Map.of("fees", List.of(addresses)));
    }

    private static ServiceServer service() {
        return INSTALLATION.register(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "20", "slots", "64"))));
    }

    private static String addressWithoutListener() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
