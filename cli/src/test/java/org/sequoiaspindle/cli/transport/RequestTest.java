package org.sequoiaspindle.cli.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiaspindle.cli.state.ExitCode;

/** Guards against wrong exit codes and against incomplete answers that count as complete. */
final class RequestTest {

    private static final String OUTCOME =
            "event: outcome\ndata: {\"outcome\":\"ANSWERED\",\"answer\":\"ab\",\"reason\":\"NONE\","
                    + "\"requestId\":\"r1\",\"generation\":3,\"stages\":[{\"stage\":\"generate\","
                    + "\"endpoint\":\"e1\",\"attempt\":1,\"outcome\":\"Completed\",\"waitMs\":2,"
                    + "\"serviceMs\":40}],\"traceId\":\"t1\"}\n\n";

    @Test
    void streamedAnswerIsPrintedWithTimingsAndOutcome() {
        CliRun run = requestStream(FakeInstance.events(token(0, "a") + token(1, "b") + OUTCOME));

        assertEquals(
                """
                exit 0
                ab

                stage     endpoint  attempt  result     wait ms  service ms
                generate  e1        1        Completed  2        40
                outcome ANSWERED, request r1, generation 3, trace t1
                """,
                run.transcript());
    }

    @Test
    void gapInThePositionsIsAFailureEvenIfTheOutcomeSaysAnswered() {
        CliRun run = requestStream(FakeInstance.events(token(0, "a") + token(2, "b") + OUTCOME));

        assertEquals(ExitCode.FAILED, run.exitCode(), run.transcript());
        assertTrue(run.out().contains("token at position 2, expected 1"), run.out());
    }

    @Test
    void missingFirstTokenIsAFailure() {
        assertEquals(
                ExitCode.FAILED,
                requestStream(FakeInstance.events(token(1, "b") + OUTCOME)).exitCode());
    }

    @Test
    void resultIsUnknownIfTheStreamEndsWithoutAnOutcome() {
        CliRun run = requestStream(FakeInstance.events(token(0, "a")));

        assertEquals(ExitCode.UNKNOWN, run.exitCode(), run.transcript());
        assertTrue(run.out().contains("the answer is incomplete"), run.out());
    }

    @Test
    void resultIsUnknownIfTheConnectionIsLost() {
        CliRun run = requestStream(FakeInstance.closingAfter(token(0, "a")));

        assertEquals(ExitCode.UNKNOWN, run.exitCode(), run.transcript());
        assertTrue(run.out().startsWith("a"), run.out());
    }

    @ParameterizedTest
    @CsvSource({
        "200, ANSWERED, DONE",
        "503, NOT_RUN, NOT_RUN",
        "429, NOT_RUN, NOT_RUN",
        "502, FAILED, FAILED",
        "502, UNKNOWN, UNKNOWN",
        "504, DEADLINE_EXCEEDED, DEADLINE_EXCEEDED"
    })
    void exitCodeFollowsTheOutcomeInTheBody(int status, String outcome, ExitCode expected) {
        String body = "{\"outcome\":\"%s\",\"answer\":\"\",\"stages\":[]}".formatted(outcome);

        assertEquals(expected, request(FakeInstance.json(status, body)).exitCode());
    }

    @ParameterizedTest
    @CsvSource({"401, NOT_RUN", "404, NOT_RUN", "502, UNKNOWN", "200, UNKNOWN"})
    void responseWithoutAnOutcomeCountsAsNotRunOnlyForClientErrors(int status, ExitCode expected) {
        assertEquals(expected, request(FakeInstance.json(status, "<html>")).exitCode());
    }

    @Test
    void requestIsSentOnceEvenIfTheConnectionIsLost() {
        try (FakeInstance first = FakeInstance.respondingWith(FakeInstance.closingAfter(""));
                FakeInstance second = FakeInstance.respondingWith(FakeInstance.json(200, "{}"))) {
            CliRun run = request(first, second.address());

            assertEquals(ExitCode.UNKNOWN, run.exitCode(), run.transcript());
            assertEquals(1, first.recordedRequests().size());
            assertTrue(second.recordedRequests().isEmpty());
        }
    }

    @Test
    void keyDeadlineAndBodyReachTheInstance() {
        try (FakeInstance instance = FakeInstance.respondingWith(FakeInstance.json(200, "{}"))) {
            request(instance, instance.address(), "--key=1764835200000-x", "--deadline-ms=900");
            FakeInstance.RecordedRequest recordedRequest = instance.recordedRequests().head();

            assertEquals(
                    "POST /v1/pipelines/chat",
                    recordedRequest.method() + " " + recordedRequest.uri());
            assertEquals("1764835200000-x", recordedRequest.headers().getFirst("Idempotency-Key"));
            assertEquals("900", recordedRequest.headers().getFirst("Sequoia-Deadline-Ms"));
            assertEquals("{\"input\":\"hello\",\"maxTokens\":256}", recordedRequest.body());
        }
    }

    private static CliRun requestStream(FakeInstance.ScriptedResponse response) {
        try (FakeInstance instance = FakeInstance.respondingWith(response)) {
            return request(instance, instance.address(), "--stream");
        }
    }

    private static CliRun request(FakeInstance.ScriptedResponse response) {
        try (FakeInstance instance = FakeInstance.respondingWith(response)) {
            return request(instance, instance.address());
        }
    }

    private static CliRun request(FakeInstance first, String next, String... more) {
        return CliRun.of(
                Vector.of(
                                "request",
                                "chat",
                                "--input=hello",
                                "--organisation=relais",
                                "--instance=" + first.address(),
                                "--instance=" + next)
                        .appendAll(Vector.of(more))
                        .toJavaArray(String[]::new));
    }

    private static String token(int position, String text) {
        return "event: token\ndata: {\"position\":%d,\"text\":\"%s\"}\n\n"
                .formatted(position, text);
    }
}
