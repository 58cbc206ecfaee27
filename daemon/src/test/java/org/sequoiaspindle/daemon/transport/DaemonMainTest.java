package org.sequoiaspindle.daemon.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.RepeatedTest;

/** Guards against a process that exits before the asynchronous log has written the reason. */
final class DaemonMainTest {

    private static final int EXIT_USAGE = 2;

    @RepeatedTest(5)
    void processWithUnreadableSettingsLogsTheProblemBeforeItEnds()
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                "java",
                                "-cp",
                                System.getProperty("java.class.path"),
                                DaemonMain.class.getName(),
                                "--settings",
                                "/no/such/settings.json")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(EXIT_USAGE, process.waitFor());
        assertTrue(output.contains("SETTINGS_INVALID"), "output was: " + output);
    }
}
