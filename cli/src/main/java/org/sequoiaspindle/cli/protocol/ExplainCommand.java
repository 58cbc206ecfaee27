package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.sequoiaspindle.cli.coordination.CauseFinder;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestExplanation;

/**
 * Explains the result of a request from the logs of instances. The files are read twice, line by
 * line, so that memory use does not depend on the size of the files.
 */
public final class ExplainCommand {

    /** Events up to this time before the start of a request may have caused the result. */
    private static final long CONTEXT_BEFORE_REQUEST_MS = 5_000;

    /** Maximum number of lines in the report that do not belong to the request itself. */
    private static final int MAX_CONTEXT_LINES = 200;

    private static final Set<String> CONTEXT_EVENTS =
            HashSet.of(
                    "STORE_UNAVAILABLE",
                    "STORE_RECOVERED",
                    "CONFIGURATION_ADOPTED",
                    "ENDPOINT_ADDED",
                    "ENDPOINT_LEAVING",
                    "PEER_SUSPECTED",
                    "PEER_CONNECTED",
                    "DAEMON_STARTED",
                    "DRAIN_STARTED",
                    "DRAIN_ENDED",
                    "PIECES_MADE");

    private ExplainCommand() {}

    /** Reads the files and explains the request. */
    public static CommandResult run(String requestId, Vector<String> files) {
        List<LogLine> requestLines = new ArrayList<>();
        LineCounter skippedLines = new LineCounter();
        Either<String, Void> firstPass =
                forEachLogLine(
                        files,
                        skippedLines,
                        line -> {
                            if (line.field("requestId").equals(requestId)) {
                                requestLines.add(line);
                            }
                        });
        if (firstPass.isLeft()) {
            return CommandResult.message(ExitCode.USAGE, firstPass.getLeft());
        }
        Vector<LogLine> lines = Vector.ofAll(requestLines);
        if (lines.isEmpty()) {
            return CommandResult.message(
                    ExitCode.USAGE,
                    "no line of request %s in %s; %d line(s) were not log lines"
                            .formatted(requestId, files.mkString(", "), skippedLines.count));
        }
        Vector<LogLine> allLines =
                lines.appendAll(contextLines(files, lines)).sortBy(LogLine::time);
        return CommandResult.done(
                new Report.Explanation(
                        new RequestExplanation(
                                requestId,
                                allLines,
                                CauseFinder.find(allLines),
                                skippedLines.count)));
    }

    /** Returns the log lines of context events shortly before and during the request. */
    private static Vector<LogLine> contextLines(
            Vector<String> files, Vector<LogLine> requestLines) {
        Instant end = requestLines.map(LogLine::time).max().get();
        long durationMs = requestLines.map(line -> line.numericField("durationMs")).max().get();
        Instant start = end.minusMillis(Math.max(0, durationMs) + CONTEXT_BEFORE_REQUEST_MS);
        List<LogLine> contextLines = new ArrayList<>();
        forEachLogLine(
                files,
                new LineCounter(),
                line -> {
                    boolean isDuringRequest =
                            !line.time().isBefore(start) && !line.time().isAfter(end);
                    if (isDuringRequest && CONTEXT_EVENTS.contains(line.eventName())) {
                        contextLines.add(line);
                    }
                });
        return Vector.ofAll(contextLines).sortBy(LogLine::time).takeRight(MAX_CONTEXT_LINES);
    }

    /**
     * Passes every log line to the consumer.
     *
     * @return an error message if a file cannot be read
     */
    private static Either<String, Void> forEachLogLine(
            Vector<String> files, LineCounter skippedLines, Consumer<LogLine> consumer) {
        for (String file : files) {
            try (BufferedReader reader = open(file)) {
                String line = reader.readLine();
                while (line != null) {
                    LogLineParser.parse(file, line)
                            .peek(consumer)
                            .onEmpty(() -> skippedLines.count++);
                    line = reader.readLine();
                }
            } catch (IOException | InvalidPathException e) {
                return Either.left(
                        "file %s cannot be read (%s); check its name"
                                .formatted(file, e.getClass().getSimpleName()));
            }
        }
        return Either.right(null);
    }

    /** Opens a file. The reader replaces malformed UTF-8, which truncated log lines may contain. */
    private static BufferedReader open(String file) throws IOException {
        return new BufferedReader(
                new InputStreamReader(
                        Files.newInputStream(Path.of(file)),
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .onMalformedInput(CodingErrorAction.REPLACE)
                                .onUnmappableCharacter(CodingErrorAction.REPLACE)));
    }

    /** Counts lines that could not be parsed. */
    private static final class LineCounter {

        private long count;
    }
}
