package org.sequoiaspindle.cli.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiaspindle.cli.state.ExitCode;

/** Guards against explanations that omit a cause although the logs contain it. */
final class ExplainTest {

    private static final String LINE =
            "{\"time\":\"2026-12-04T10:00:%s\",\"level\":\"INFO\",\"name\":\"%s\",\"fields\":{%s}}";

    @TempDir Path directory;

    @Test
    void rejectionForUnconfirmedKeysIsTracedToTheUnavailableStore() throws IOException {
        CliRun run =
                explain(
                        line("01.000Z", "STORE_UNAVAILABLE", "'reason':'Connection reset'"),
                        forwardEnded(
                                "05.100Z", "KEYS_UNCONFIRMED", "'stagedMs':-1,'durationMs':3"));
        assertCause(
                run, "could not reach the store from 2026-12-04T10:00:01Z on: Connection reset");
    }

    @Test
    void slowStagesAreTracedToTheLongestQueue() throws IOException {
        CliRun run =
                explain(
                        line(
                                "03.000Z",
                                "PIECES_MADE",
                                "'service':'a','waiting':7,'outcome':'made'"),
                        line(
                                "04.000Z",
                                "PIECES_MADE",
                                "'service':'b','waiting':180,'outcome':'made'"),
                        forwardEnded(
                                "05.000Z",
                                "none",
                                "'stagedMs':2300,'firstBytesMs':2480,'durationMs':2600"));
        assertCause(run, "stages took 2300 of 2480 ms");
        assertCause(run, "180 pieces of service b waiting");
    }

    @Test
    void lostAnswerIsTracedToTheFailedAttempt() throws IOException {
        CliRun run =
                explain(
                        line(
                                "04.000Z",
                                "ATTEMPT_FAILED",
                                "'requestId':'r1','endpoint':'e-1','result':'UNKNOWN',"
                                        + "'reason':'Connection reset'"),
                        forwardEnded("04.001Z", "ANSWER_LOST", "'stagedMs':0,'durationMs':90"));
        assertCause(run, "endpoint e-1: UNKNOWN, Connection reset");
    }

    @Test
    void malformedLinesAreCountedAndThePrefixOfALineNamesTheInstance() throws IOException {
        String completeLine = forwardEnded("05.100Z", "STOPPING", "'durationMs':3");
        CliRun run =
                explain(
                        "no log line",
                        completeLine.substring(0, 60),
                        "  0.1 entry-7 " + completeLine);
        assertTrue(run.out().contains("2 line(s) were not log lines"), run.transcript());
        assertTrue(run.out().contains(" entry-7 FORWARD_ENDED"), run.transcript());
    }

    @Test
    void linesFromOtherTimesAreOmitted() throws IOException {
        CliRun run =
                explain(
                        line("00.000Z", "STORE_UNAVAILABLE", "'reason':'long ago'"),
                        forwardEnded("30.000Z", "KEYS_UNCONFIRMED", "'durationMs':3"));
        assertCause(run, "no log line gives the reason");
        assertTrue(!run.out().contains("long ago"), run.transcript());
    }

    @Test
    void jsonOutputContainsTheCause() throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(file, List.of(forwardEnded("05.100Z", "STOPPING", "'durationMs':3")));
        CliRun run = CliRun.of("explain", "r1", file.toString(), "--json");
        assertTrue(
                run.out().contains("\"cause\":\"the instance rejected the request: STOPPING\""),
                run.transcript());
    }

    @Test
    void unknownRequestAndMissingFileGiveDifferentErrors() throws IOException {
        CliRun unknownRequestRun =
                explain(forwardEnded("05.100Z", "STOPPING", "'durationMs':3").replace("r1", "r2"));
        assertEquals(ExitCode.USAGE, unknownRequestRun.exitCode());
        assertTrue(
                unknownRequestRun.transcript().contains("no line of request r1"),
                unknownRequestRun.transcript());
        CliRun missingFileRun =
                CliRun.of("explain", "r1", directory.resolve("none.log").toString());
        assertEquals(ExitCode.USAGE, missingFileRun.exitCode());
        assertTrue(
                missingFileRun.transcript().contains("cannot be read"),
                missingFileRun.transcript());
    }

    private CliRun explain(String... lines) throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(file, List.of(lines));
        return CliRun.of("explain", "r1", file.toString());
    }

    private static void assertCause(CliRun run, String expected) {
        assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        String cause =
                run.out().lines().filter(line -> line.startsWith("cause:")).findFirst().orElse("");
        assertTrue(cause.contains(expected), run.transcript());
    }

    private static String forwardEnded(String time, String reason, String fields) {
        return line(
                time,
                "FORWARD_ENDED",
                "'requestId':'r1','reason':'%s',%s".formatted(reason, fields));
    }

    private static String line(String time, String name, String fields) {
        return LINE.formatted(time, name, fields.replace('\'', '"'));
    }
}
