package org.sequoiaspindle.daemon.transport.telemetry;

import io.vavr.collection.HashMap;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * Process whose standard output is its log. It executes the commands on its standard input, and
 * answers each with the number of lines that the log has lost, on standard error.
 */
final class LogOutputProcess {

    static final String RECORD = "record";
    static final String CLOSE = "close";
    static final String COUNT = "count";

    private LogOutputProcess() {}

    public static void main(String[] arguments) throws IOException {
        LogEventWriter events = LogEventWriter.createAtLevel(LogEvent.Level.INFO);
        BufferedReader commands =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String command = commands.readLine();
        while (command != null) {
            execute(command.split(" "), events);
            System.err.println(LogEventWriter.droppedLines());
            command = commands.readLine();
        }
    }

    private static void execute(String[] command, LogEventWriter events) {
        if (command[0].equals(RECORD)) {
            for (int i = 0; i < Integer.parseInt(command[1]); i++) {
                events.record(LogEvent.FORWARD_ENDED, HashMap.of("requestId", "r" + i));
            }
        } else if (command[0].equals(CLOSE)) {
            events.close();
        }
    }
}
