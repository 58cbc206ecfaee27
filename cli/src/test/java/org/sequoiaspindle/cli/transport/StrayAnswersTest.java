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

/** Guards against an overview that hides which endpoints repeat answers. */
final class StrayAnswersTest {

    @TempDir Path directory;

    @Test
    void answersAreCountedByEndpointAndByIdleOrBusyConnection() throws IOException {
        Path first = directory.resolve("entry-1.log");
        Files.write(
                first,
                List.of(
                        stray("none", "b", 200),
                        stray("none", "a", 0),
                        "no log line",
                        line("OUTPUT_DROPPED", "'lines':12")));
        Path second = directory.resolve("entry-2.log");
        Files.write(
                second,
                List.of(
                        stray("none", "a", 503),
                        stray("r1", "a", 200),
                        line("FORWARD_ENDED", "'requestId':'r1','endpoint':'a'")));
        CliRun run = CliRun.of("explain", "--stray", first.toString(), second.toString());
        assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        assertEquals(
                """
                endpoint  idle  busy  not a response
                a         2     1     1
                b         1     0     0
                (all)     3     1     1
                12 line(s) were dropped by the instances
                1 line(s) were not log lines
                """,
                run.out());
    }

    @Test
    void jsonOutputContainsTheCounts() throws IOException {
        Path file = directory.resolve("entry-1.log");
        Files.write(file, List.of(stray("r1", "a", 200)));
        CliRun run = CliRun.of("explain", "--stray", "--json", file.toString());
        assertTrue(
                run.out().contains("{\"endpoint\":\"a\",\"idle\":0,\"busy\":1,\"notAResponse\":0}"),
                run.transcript());
    }

    @Test
    void requestIdWithoutAFileIsAnError() {
        CliRun run = CliRun.of("explain", "r1");
        assertEquals(ExitCode.USAGE, run.exitCode());
        assertTrue(run.err().contains("--stray"), run.transcript());
    }

    private static String stray(String requestId, String endpoint, int status) {
        return line(
                "STRAY_ANSWER",
                "'requestId':'%s','endpoint':'%s','status':%d"
                        .formatted(requestId, endpoint, status));
    }

    private static String line(String name, String fields) {
        return "{\"time\":\"2026-12-04T10:00:00.000Z\",\"name\":\"%s\",\"fields\":{%s}}"
                .formatted(name, fields.replace('\'', '"'));
    }
}
