package org.sequoiaspindle.daemon.transport.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiaspindle.daemon.protocol.DaemonJson;

/** Guards against lines that are missing from the log although nothing says so. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class LostLinesTest {

    /** More events than the queue and the pipe of the output can hold. */
    private static final int MANY_EVENTS = 20_000;

    private static final long POLL_MS = 20;

    private final Process process = start();
    private final PrintStream commands =
            new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
    private final BufferedReader log = readerOf(process.getInputStream());
    private final BufferedReader replies = readerOf(process.getErrorStream());

    @AfterEach
    void stop() {
        process.destroyForcibly();
    }

    @Test
    void everyEventIsWrittenOrCountedAndTheEndOfTheLogSaysHowManyAreMissing() throws IOException {
        long lost = execute(LogOutputProcess.RECORD + " " + MANY_EVENTS);
        assertTrue(lost > 0);
        for (long line = 0; line < MANY_EVENTS - lost; line++) {
            assertTrue(log.readLine().contains("FORWARD_ENDED"));
        }
        execute(LogOutputProcess.CLOSE);
        JsonNode report = DaemonJson.parseObject(log.readLine()).get();
        assertEquals("OUTPUT_DROPPED", report.path("name").asText());
        assertEquals(lost, report.path("fields").path("lines").asLong());
        assertEquals(lost, report.path("fields").path("total").asLong());
        assertTrue(report.path("fields").path("forMs").asLong(-1) >= 0);
    }

    /** A full disk and a closed pipe fail the write without stopping the process. */
    @Test
    void lineThatTheOutputRefusesIsCountedOnce() throws IOException, InterruptedException {
        log.close();
        execute(LogOutputProcess.RECORD + " 1");
        awaitLost(1);
        execute(LogOutputProcess.CLOSE);
        assertEquals(2, awaitLost(2), "the event and the report of its loss");
    }

    @Test
    void linesThatAreGivenUpAtTheEndAreCountedOnStandardError() throws IOException {
        execute(LogOutputProcess.RECORD + " " + MANY_EVENTS);
        commands.println(LogOutputProcess.CLOSE);
        assertTrue(replies.readLine().contains("lines of the log given up: "));
    }

    private long awaitLost(long lines) throws IOException, InterruptedException {
        long lost = execute(LogOutputProcess.COUNT);
        while (lost < lines) {
            assertFalse(process.waitFor(POLL_MS, TimeUnit.MILLISECONDS), "the process has ended");
            lost = execute(LogOutputProcess.COUNT);
        }
        return lost;
    }

    /** Executes a command and returns the number of lost lines. */
    private long execute(String command) throws IOException {
        commands.println(command);
        return Long.parseLong(replies.readLine());
    }

    private static BufferedReader readerOf(InputStream stream) {
        return new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    }

    private static Process start() {
        try {
            return new ProcessBuilder(
                            "java",
                            "-cp",
                            System.getProperty("java.class.path"),
                            LogOutputProcess.class.getName())
                    .start();
        } catch (IOException e) {
            throw new AssertionError("the process cannot be started", e);
        }
    }
}
