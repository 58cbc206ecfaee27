package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.Await;
import org.sequoiaspindle.standins.RawCall;
import org.sequoiaspindle.standins.StandinClient;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EngineOptions;
import org.sequoiaspindle.standins.state.SlotUsage;

/**
 * Guards against more running calls than slots, and against wrong tokens in a stream without an
 * injected fault.
 */
final class EngineServerTest {

    private static final String LONG_RUNNING = "{\"input\":\"long\",\"maxTokens\":1000000000}";
    private static final String FOUR_TOKENS = "{\"input\":\"abc\",\"maxTokens\":4}";

    private final EngineServer engine =
            EngineServer.start(
                    EngineOptions.of(
                            Map.of(
                                    "slots", "2",
                                    "queueLimit", "3",
                                    "prefillMsPerKToken", "0",
                                    "tokenMs", "1")));
    private final List<RawCall> calls = new ArrayList<>();

    @AfterEach
    void close() {
        calls.forEach(RawCall::close);
        engine.close();
    }

    @Test
    void theStreamContainsTheExpectedTokensAndTheTokenCount() {
        List<String> data = execute(FOUR_TOKENS).remainingDataLines();
        assertEquals(tokens(0, 1, 2, 3), data.subList(0, 4));
        assertTrue(data.get(4).startsWith("data: {\"tokens\":4,"), data.get(4));
        assertEquals(
                EngineServer.expectedAnswer("abc", 4),
                LongStream.range(0, 4)
                        .mapToObj(position -> EngineServer.expectedToken("abc", position))
                        .collect(Collectors.joining()));
    }

    @Test
    void aResumedStreamBeginsAtTheResumePositionAndReportsTheTokenCountOfTheWholeAnswer() {
        List<String> data =
                execute("{\"input\":\"abc\",\"maxTokens\":4,\"resumeFrom\":2}")
                        .remainingDataLines();
        assertEquals(tokens(2, 3), data.subList(0, 2));
        assertTrue(data.get(2).startsWith("data: {\"tokens\":4,"), data.get(2));
    }

    @Test
    void runningCallsAreLimitedToTheSlotsAndTheQueueIsBounded() {
        for (int i = 0; i < 5; i++) {
            execute(LONG_RUNNING);
        }
        Await.until(() -> engine.load().equals(new SlotUsage(2, 3, 2)));
        HttpResponse<String> refusal =
                StandinClient.send("POST", engine.address(), "/v1/execute", FOUR_TOKENS);
        assertEquals(503, refusal.statusCode());
        assertEquals("true", refusal.headers().firstValue("Sequoia-Not-Run").orElseThrow());
        Await.until(() -> engine.counters().get("started") == 2);
        assertEquals(1, engine.counters().get("refused"));
    }

    @Test
    void aClosedConnectionFreesASlotForTheWaitingCallOfHighestPriority() {
        RawCall first = execute(LONG_RUNNING);
        execute(LONG_RUNNING);
        Await.until(() -> engine.load().running() == 2);
        RawCall lowPriority = execute(LONG_RUNNING, "Sequoia-Priority: 1");
        Await.until(() -> engine.load().queued() == 1);
        RawCall highPriority = execute(LONG_RUNNING, "Sequoia-Priority: 0");
        Await.until(() -> engine.load().queued() == 2);
        first.close();
        assertEquals(token("long", 0), highPriority.nextDataLine());
        assertEquals(new SlotUsage(2, 1, 2), engine.load());
        highPriority.close();
        assertEquals(token("long", 0), lowPriority.nextDataLine());
        assertEquals(2, engine.counters().get("cancelled"));
    }

    @Test
    void aWaitingCallIsRefusedWhenTheDeadlinePasses() {
        execute(LONG_RUNNING);
        execute(LONG_RUNNING);
        Await.until(() -> engine.load().running() == 2);
        HttpResponse<String> response =
                StandinClient.send(
                        "POST",
                        engine.address(),
                        "/v1/execute",
                        FOUR_TOKENS,
                        "Sequoia-Deadline-Ms",
                        "5");
        assertEquals(503, response.statusCode());
        assertEquals("true", response.headers().firstValue("Sequoia-Not-Run").orElseThrow());
        assertEquals(new SlotUsage(2, 0, 2), engine.load());
    }

    @Test
    void duplicateReorderAndCutFaultsChangeTheStream() {
        engine.setFault(EndpointFault.of(EndpointFault.Mode.DUPLICATE));
        assertEquals(
                tokens(0, 0, 1, 1, 2, 2, 3, 3),
                execute(FOUR_TOKENS).remainingDataLines().subList(0, 8));
        engine.setFault(EndpointFault.of(EndpointFault.Mode.REORDER));
        assertEquals(tokens(0, 2, 1, 3), execute(FOUR_TOKENS).remainingDataLines().subList(0, 4));
        engine.setFault(EndpointFault.of(EndpointFault.Mode.CUT));
        assertEquals(tokens(0, 1), execute(FOUR_TOKENS).remainingDataLines());
    }

    @Test
    void aFrozenStreamContinuesWithTheNextTokenAfterTheFault() {
        RawCall call = execute(LONG_RUNNING);
        assertEquals(token("long", 0), call.nextDataLine());
        engine.setFault(EndpointFault.of(EndpointFault.Mode.FROZEN));
        RawCall laterCall = execute(FOUR_TOKENS);
        Await.until(() -> engine.load().running() == 2);
        assertEquals(1, engine.counters().get("started"));
        engine.setFault(EndpointFault.none());
        assertEquals(5, laterCall.remainingDataLines().size());
        for (long position = 1; position < 300; position++) {
            assertEquals(token("long", position), call.nextDataLine());
        }
    }

    @Test
    void aCallerThatAcceptsOnlyJsonGetsTheWholeAnswerAtOnce() {
        String body =
                StandinClient.send(
                                "POST",
                                engine.address(),
                                "/v1/execute",
                                FOUR_TOKENS,
                                "Accept",
                                "application/json")
                        .body();
        String output = "{\"output\":\"" + EngineServer.expectedAnswer("abc", 4) + "\",";
        assertTrue(body.startsWith(output), body);
    }

    @Test
    void errorAndCloseBeforeAnswerFaultsApplyAfterTheExecution() {
        engine.setFault(EndpointFault.of(EndpointFault.Mode.ERROR));
        HttpResponse<String> errorResponse =
                StandinClient.send("POST", engine.address(), "/v1/execute", FOUR_TOKENS);
        assertEquals(500, errorResponse.statusCode());
        engine.setFault(EndpointFault.of(EndpointFault.Mode.CLOSE_BEFORE_ANSWER));
        assertEquals(List.of(), execute(FOUR_TOKENS).remainingDataLines());
        assertEquals(2, engine.counters().get("completed"));
    }

    private RawCall execute(String body, String... headers) {
        RawCall call = RawCall.execute(engine.address(), body, headers);
        calls.add(call);
        return call;
    }

    private static List<String> tokens(long... positions) {
        return LongStream.of(positions).mapToObj(position -> token("abc", position)).toList();
    }

    private static String token(String input, long position) {
        return "data: {\"position\":%d,\"text\":\"%s\"}"
                .formatted(position, EngineServer.expectedToken(input, position));
    }
}
