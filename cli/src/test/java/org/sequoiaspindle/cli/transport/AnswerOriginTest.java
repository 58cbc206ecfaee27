package org.sequoiaspindle.cli.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiaspindle.cli.state.ExitCode;

/**
 * Guards against logs that contain where an answer came from, and a report that does not say it.
 */
final class AnswerOriginTest {

    private static final String REFUSAL =
            failed("01.000", "a", "c1", 3, "NOT_EXECUTED", "status 503");
    private static final String SUCCESS = ended("02.000", "b", "c2", 0, 2);

    @TempDir Path directory;

    @Test
    void refusalThatIsRepeatedAfterAnotherEndpointAnsweredIsTold() throws IOException {
        CliRun run = explain(REFUSAL, SUCCESS, stray("03.000", "none", "r1", "a", "c1", 4, 503));
        assertAnswer(
                run,
                "refused by a with status 503 and answered by b with status 200; a repeated its"
                        + " refusal with status 503, which was not used");
    }

    @Test
    void successOfAnEndpointThatHadRefusedIsToldFromARepeatedRefusal() throws IOException {
        CliRun run = explain(REFUSAL, SUCCESS, stray("03.000", "r9", "r1", "a", "c1", 5, 200));
        assertAnswer(run, "a answered with status 200 too although it had refused");
    }

    @Test
    void refusalWithoutAFurtherAnswerIsNotCalledUsual() throws IOException {
        assertAnswer(
                explain(REFUSAL, SUCCESS),
                "refused by a with status 503 and answered by b with status 200; no further answer"
                        + " of a was logged");
    }

    @Test
    void answerThatFollowsTheCopyOfAnEarlierOneIsTold() throws IOException {
        CliRun run =
                explain(
                        stray("01.500", "r1", "r0", "b", "c2", 2, 503),
                        ended("02.000", "b", "c2", 1, 1));
        assertAnswer(
                run,
                "on a connection whose earlier answer was repeated: an answer to request r0 with"
                        + " status 503 came first and was not used");
    }

    @Test
    void lateCopyOnAnIdleConnectionIsToldWithItsStatus() throws IOException {
        CliRun run =
                explain(
                        ended("02.000", "b", "c2", 0, 1),
                        stray("03.000", "none", "r1", "b", "c2", 1, 500));
        assertAnswer(
                run,
                "a late copy with status 500 arrived on connection c2, which was idle, and was not"
                        + " used; it is another answer, because its status differs");
    }

    @Test
    void lateCopyThatMeetsAnotherRequestIsToldWithThatRequest() throws IOException {
        CliRun run =
                explain(
                        ended("02.000", "b", "c2", 0, 1),
                        stray("03.000", "r7", "r1", "b", "c2", 2, 200));
        assertAnswer(run, "arrived on connection c2, which carried request r7");
    }

    @Test
    void bytesBehindAnAnswerAreToldAsAPossiblyMixedBody() throws IOException {
        CliRun run =
                explain(
                        ended("02.000", "b", "c2", 4, 1),
                        stray("02.100", "none", "none", "b", "c2", 5, 0));
        assertAnswer(run, "a part of another response may have completed the answer");
    }

    @Test
    void bytesBehindTheAnswerToALaterRequestAreNotHeldAgainstThisOne() throws IOException {
        CliRun run =
                explain(
                        ended("02.000", "b", "c2", 4, 1),
                        stray("09.000", "none", "none", "b", "c2", 6, 0));
        assertAnswer(run, "nothing unusual: answered by b with status 200, naming the request");
        assertTrue(run.out().contains("stray: 2026-12-04T10:00:09Z"), run.transcript());
    }

    @Test
    void connectionOfTheSameNameOnAnotherInstanceIsAnotherConnection() throws IOException {
        Path otherInstance = directory.resolve("entry-2.log");
        Files.write(otherInstance, List.of(stray("02.100", "none", "none", "b", "c2", 5, 0)));
        Path instance = directory.resolve("entry-1.log");
        Files.write(instance, List.of(ended("02.000", "b", "c2", 4, 1)));
        CliRun run = CliRun.of("explain", "r1", instance.toString(), otherInstance.toString());
        assertAnswer(run, "nothing unusual");
        assertFalse(run.out().contains("stray:"), run.transcript());
    }

    @Test
    void secondSendToOneEndpointIsToldWithBothConnections() throws IOException {
        CliRun run =
                explain(
                        failed("01.000", "b", "c1", 0, "INPUTS_GONE", "status 409"),
                        ended("02.000", "b", "c2", 0, 2));
        assertAnswer(
                run,
                "sent to b twice: refused by b with status 409 on c1, then answered by"
                        + " b with status 200 on connection c2; no further answer was logged");
    }

    @Test
    void secondSendOnOneConnectionIsToldAsAPossibleCopy() throws IOException {
        CliRun run =
                explain(
                        failed("01.000", "b", "c1", 0, "INPUTS_GONE", "status 409"),
                        ended("02.000", "b", "c1", 1, 2));
        assertAnswer(run, "the answer may be a copy of the first one");
    }

    @Test
    void usualAnswerSaysWhetherItHadToNameTheRequest() throws IOException {
        assertAnswer(
                explain(ended("02.000", "b", "c2", 0, 1)),
                "nothing unusual: answered by b with status 200, to the first request on the"
                        + " connection, where it need not name the request");
    }

    @Test
    void attemptsAreListedInOrderWithConnectionNumberResultAndStatus() throws IOException {
        CliRun run = explain(REFUSAL, SUCCESS);
        assertEquals(
                List.of(
                        "attempt 1: 2026-12-04T10:00:01Z entry-1 at a (connection c1, request 4 on"
                                + " it): NOT_EXECUTED, status 503",
                        "attempt 2: 2026-12-04T10:00:02Z entry-1 at b (connection c2, request 1 on"
                                + " it): ANSWERED, status 200"),
                run.out()
                        .lines()
                        .filter(line -> line.startsWith("attempt"))
                        .map(line -> line.replace(directory.resolve("entry-1.log") + "", "entry-1"))
                        .toList());
    }

    @Test
    void requestWithoutItsEndSaysWhichLineIsMissing() throws IOException {
        CliRun run =
                explain(
                        stray("03.000", "none", "r1", "b", "c2", 1, 200),
                        dropped("03.500", 40, 2_000),
                        dropped("59.000", 7, 1_000));
        assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        assertTrue(run.out().contains("missing: line 304 of this request"), run.transcript());
        assertTrue(run.out().contains("missing: 40 lines of "), run.transcript());
        assertFalse(run.out().contains("missing: 7 lines"), run.transcript());
    }

    @Test
    void sendWithoutALineOfItsOwnIsMissing() throws IOException {
        CliRun run = explain(ended("02.000", "b", "c2", 0, 3), REFUSAL);
        assertTrue(
                run.out()
                        .contains(
                                "missing: 1 of the 3 sends that line 304 counts have no line 305"),
                run.transcript());
    }

    @Test
    void linesOfAVersionWithoutConnectionsGiveNoFinding() throws IOException {
        CliRun run = explain(SUCCESS.replace("\"connection\":\"c2\",", ""));
        assertAnswer(run, "cannot be told: line 304 does not name the connection");
    }

    @Test
    void requestThatDidNotSucceedHasNoFinding() throws IOException {
        CliRun run = explain(SUCCESS.replace("200", "502").replace("none", "ANSWER_LOST"));
        assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        assertFalse(run.out().contains("answer:"), run.transcript());
    }

    @Test
    void strayAnswersLongAfterTheRequestDoNotAddEventsOfThatTime() throws IOException {
        CliRun run =
                explain(
                        ended("02.000", "b", "c2", 0, 1),
                        line("40.000", "STORE_UNAVAILABLE", "'reason':'later'"),
                        stray("50.000", "none", "r1", "b", "c2", 1, 200));
        assertFalse(run.out().contains("later"), run.transcript());
    }

    @Test
    void reportIsLimitedWhenAnEndpointRepeatsAnswersWithoutEnd() throws IOException {
        String[] lines = new String[1_001];
        lines[0] = ended("02.000", "b", "c2", 0, 1);
        Arrays.fill(lines, 1, lines.length, stray("03.000", "r7", "r1", "b", "c2", 2, 200));
        CliRun run = explain(lines);
        assertEquals(200, run.out().lines().filter(line -> line.startsWith("stray:")).count());
        assertTrue(run.out().contains("800 further line(s) about stray answers"));
    }

    @Test
    void jsonOutputContainsAttemptsStrayAnswersAndFinding() throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(
                file, List.of(REFUSAL, SUCCESS, stray("03.000", "none", "r1", "a", "c1", 4, 503)));
        String json = CliRun.of("explain", "r1", file.toString(), "--json").out();
        assertTrue(json.contains("\"answer\":\"refused by a with status 503"), json);
        assertTrue(json.contains("\"connection\":\"c1\",\"requestNumber\":4"), json);
        assertTrue(json.contains("\"strayAnswers\":[{"), json);
    }

    private CliRun explain(String... lines) throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(file, List.of(lines));
        return CliRun.of("explain", "r1", file.toString());
    }

    private static void assertAnswer(CliRun run, String expected) {
        assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        List<String> findings =
                run.out().lines().filter(line -> line.startsWith("answer: ")).toList();
        assertEquals(1, findings.size(), run.transcript());
        assertTrue(findings.get(0).contains(expected), run.transcript());
    }

    private static String failed(
            String second,
            String endpoint,
            String connection,
            int carriedRequests,
            String result,
            String reason) {
        return line(
                second,
                "ATTEMPT_FAILED",
                ("'requestId':'r1','endpoint':'%s','connection':'%s','carriedRequests':%d,"
                                + "'result':'%s','reason':'%s'")
                        .formatted(endpoint, connection, carriedRequests, result, reason));
    }

    private static String ended(
            String second, String endpoint, String connection, int carriedRequests, int sends) {
        return line(
                second,
                "FORWARD_ENDED",
                ("'requestId':'r1','status':200,'reason':'none','sends':%d,'durationMs':900,"
                                + "'endpoint':'%s','connection':'%s','carriedRequests':%d")
                        .formatted(sends, endpoint, connection, carriedRequests));
    }

    private static String stray(
            String second,
            String requestId,
            String answeredId,
            String endpoint,
            String connection,
            int carriedRequests,
            int status) {
        return line(
                second,
                "STRAY_ANSWER",
                ("'requestId':'%s','answeredId':'%s','endpoint':'%s','connection':'%s',"
                                + "'carriedRequests':%d,'status':%d")
                        .formatted(
                                requestId,
                                answeredId,
                                endpoint,
                                connection,
                                carriedRequests,
                                status));
    }

    private static String dropped(String second, int lines, int forMs) {
        return line(second, "OUTPUT_DROPPED", "'lines':%d,'forMs':%d".formatted(lines, forMs));
    }

    private static String line(String second, String name, String fields) {
        return "{\"time\":\"2026-12-04T10:00:%sZ\",\"name\":\"%s\",\"fields\":{%s}}"
                .formatted(second, name, fields.replace('\'', '"'));
    }
}
