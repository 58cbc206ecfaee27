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
 * Guards against responses that reach the wrong caller, and against responses with missing,
 * duplicated or reordered tokens.
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
    private static DaemonProcess firstInstance;
    private static DaemonProcess secondInstance;

    /** A request that was sent, and the reply to the request. */
    private record SentRequest(
            String organisation,
            String input,
            int tokens,
            boolean streams,
            CompletableFuture<CallerReply> reply) {

        String expectedAnswer() {
            return EngineServer.expectedAnswer(TestObjectSets.engineInput(input), tokens);
        }
    }

    @BeforeAll
    static void publish() {
        firstInstance = INSTALLATION.start("first");
        INSTALLATION.publishFirst(
                TestObjectSets.of(
                        Map.of("support", addresses(SUPPORT), "engines", addresses(ENGINES))),
                firstInstance);
        secondInstance = INSTALLATION.startAndAwaitReady("second").get("second");
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @Test
    void eachAnsweredCallerGetsTheWholeAnswerToItsInputAlthoughAllEndpointsHaveFaults() {
        List<SentRequest> sentRequests = new ArrayList<>();
        for (int index = 0; index < REQUESTS_PER_ORGANISATION; index++) {
            for (String organisation : TestObjectSets.ORGANISATIONS) {
                sentRequests.add(sendRequest(organisation, index));
            }
        }
        sentRequests.forEach(sentRequest -> Await.value(sentRequest.reply()));
        sentRequests.forEach(MixedResultsTest::checkReply);
        for (String organisation : TestObjectSets.ORGANISATIONS) {
            long answered =
                    sentRequests.stream()
                            .filter(sentRequest -> sentRequest.organisation().equals(organisation))
                            .filter(sentRequest -> sentRequest.reply().join().isAnswered())
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
        DaemonProcess instance = index % 2 == 0 ? firstInstance : secondInstance;
        TestCaller caller = new TestCaller(organisation);
        CompletableFuture<CallerReply> reply =
                streams
                        ? caller.chat(instance, input, tokens, DEADLINE_MS)
                        : caller.chatWhole(instance, input, tokens, DEADLINE_MS);
        return new SentRequest(organisation, input, tokens, streams, reply);
    }

    private static void checkReply(SentRequest sentRequest) {
        CallerReply reply = sentRequest.reply().join();
        assertFalse(reply.isIncomplete(), sentRequest.input() + ": " + reply.failure());
        assertFalse(reply.outcome().isEmpty(), sentRequest.input() + " has no outcome");
        if (reply.isAnswered()) {
            assertEquals(sentRequest.expectedAnswer(), reply.answer(), sentRequest.input());
        }
        if (sentRequest.streams()) {
            checkStream(sentRequest, reply);
        }
    }

    private static void checkStream(SentRequest sentRequest, CallerReply reply) {
        int tokens = reply.tokens().size();
        assertEquals(tokens + 1, reply.events().size(), sentRequest.input());
        assertEquals("outcome", reply.events().get(tokens), sentRequest.input());
        for (int position = 0; position < tokens; position++) {
            assertEquals(
                    position,
                    reply.tokens().get(position).path("position").asInt(-1),
                    sentRequest.input());
        }
        assertTrue(
                sentRequest.expectedAnswer().startsWith(reply.streamedText()),
                () -> sentRequest.input() + " got " + reply.streamedText());
        if (reply.isAnswered()) {
            assertEquals(sentRequest.tokens(), tokens, sentRequest.input());
        }
    }

    private static EndpointServer faultyEngine(Mode mode) {
        return withFault(
                EngineServer.start(EngineOptions.of(Map.of("tokenMs", "2", "slots", "64"))), mode);
    }

    private static EndpointServer faultyService(Mode mode) {
        return withFault(
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "10", "slots", "64"))),
                mode);
    }

    private static EndpointServer withFault(EndpointServer endpoint, Mode mode) {
        endpoint.setFault(EndpointFault.of(mode).withShare(FAULT_SHARE));
        return INSTALLATION.register(endpoint);
    }

    private static List<String> addresses(List<EndpointServer> endpoints) {
        return endpoints.stream().map(EndpointServer::address).toList();
    }
}
