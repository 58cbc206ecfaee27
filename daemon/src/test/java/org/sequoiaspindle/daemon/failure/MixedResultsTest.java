package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.ServiceOptions;
import org.sequoiaspindle.standins.transport.EndpointServer;
import org.sequoiaspindle.standins.transport.EngineServer;
import org.sequoiaspindle.standins.transport.ServiceServer;

/**
 * Guards against responses that reach the wrong caller, or that are incomplete, duplicated or out
 * of order.
 */
final class MixedResultsTest {

    private static final long DEADLINE_MS = 20_000;
    private static final int REQUESTS_PER_ORGANISATION = 60;
    private static final int MIN_TOKENS = 8;
    private static final double FAULT_SHARE = 0.3;
    private static final List<Mode> ENGINE_FAULTS =
            List.of(
                    Mode.DUPLICATE,
                    Mode.REORDER,
                    Mode.CUT,
                    Mode.WRONG_ID,
                    Mode.CLOSE_BEFORE_ANSWER);
    private static final List<Mode> SUPPORT_FAULTS =
            List.of(Mode.WRONG_ID, Mode.CUT, Mode.CLOSE_BEFORE_ANSWER);

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static final List<EndpointServer> ENGINES =
            ENGINE_FAULTS.stream().map(MixedResultsTest::faultyEngine).toList();
    private static final List<EndpointServer> SUPPORT =
            SUPPORT_FAULTS.stream().map(MixedResultsTest::faultyService).toList();
    private static DaemonProcess first;
    private static DaemonProcess second;

    /** A request that was sent, and its reply. */
    private record SentRequest(
            String organisation,
            String input,
            int tokens,
            boolean streams,
            CompletableFuture<CallerReply> reply) {

        String expected() {
            return EngineServer.expectedAnswer(TestObjectSets.engineInput(input), tokens);
        }
    }

    @BeforeAll
    static void publish() {
        first = INSTALLATION.start("first");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of("support", addresses(SUPPORT), "engines", addresses(ENGINES))),
                first);
        second = INSTALLATION.startAndAwaitReady("second").get("second");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @Test
    void eachAnsweredCallerHasTheWholeAnswerOfItsOwnInputWhileAllEndpointsMixResults() {
        List<SentRequest> all = new ArrayList<>();
        for (int index = 0; index < REQUESTS_PER_ORGANISATION; index++) {
            for (String organisation : TestObjectSets.ORGANISATIONS) {
                all.add(sendRequest(organisation, index));
            }
        }
        all.forEach(sent -> Await.value(sent.reply()));
        all.forEach(MixedResultsTest::checkReply);
        for (String organisation : TestObjectSets.ORGANISATIONS) {
            long answered =
                    all.stream()
                            .filter(sent -> sent.organisation().equals(organisation))
                            .filter(sent -> sent.reply().join().isAnswered())
                            .count();
            assertTrue(answered > 0, "no answer for " + organisation);
        }
        Stream.concat(ENGINES.stream(), SUPPORT.stream())
                .forEach(endpoint -> assertTrue(endpoint.counters().get("started") > 0));
    }

    private static SentRequest sendRequest(String organisation, int index) {
        String input = organisation + " asks question " + index;
        int tokens = MIN_TOKENS + index % 24;
        boolean streams = index % 4 != 0;
        DaemonProcess instance = index % 2 == 0 ? first : second;
        TestCaller caller = new TestCaller(organisation);
        CompletableFuture<CallerReply> reply =
                streams
                        ? caller.chat(instance, input, tokens, DEADLINE_MS)
                        : caller.chatWhole(instance, input, tokens, DEADLINE_MS);
        return new SentRequest(organisation, input, tokens, streams, reply);
    }

    private static void checkReply(SentRequest sent) {
        CallerReply reply = sent.reply().join();
        assertFalse(reply.isIncomplete(), sent.input() + ": " + reply.failure());
        assertFalse(reply.outcome().isEmpty(), sent.input() + " has no outcome");
        if (reply.isAnswered()) {
            assertEquals(sent.expected(), reply.answer(), sent.input());
        }
        if (sent.streams()) {
            checkStream(sent, reply);
        }
    }

    private static void checkStream(SentRequest sent, CallerReply reply) {
        int tokens = reply.tokens().size();
        assertEquals(tokens + 1, reply.events().size(), sent.input());
        assertEquals("outcome", reply.events().get(tokens), sent.input());
        for (int position = 0; position < tokens; position++) {
            assertEquals(
                    position,
                    reply.tokens().get(position).path("position").asInt(-1),
                    sent.input());
        }
        assertTrue(
                sent.expected().startsWith(reply.streamedText()),
                () -> sent.input() + " got " + reply.streamedText());
        if (reply.isAnswered()) {
            assertEquals(sent.tokens(), tokens, sent.input());
        }
    }

    private static EndpointServer faultyEngine(Mode mode) {
        return faulty(
                EngineServer.start(EngineOptions.of(Map.of("tokenMs", "2", "slots", "64"))), mode);
    }

    private static EndpointServer faultyService(Mode mode) {
        return faulty(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "10", "slots", "64"))),
                mode);
    }

    private static EndpointServer faulty(EndpointServer endpoint, Mode mode) {
        endpoint.setFault(EndpointFault.of(mode).withShare(FAULT_SHARE));
        return INSTALLATION.register(endpoint);
    }

    private static List<String> addresses(List<EndpointServer> endpoints) {
        return endpoints.stream().map(EndpointServer::address).toList();
    }
}
