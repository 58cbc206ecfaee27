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
import org.sequoiaspindle.cli.state.Explanation;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.Report;

/**
 * Explains the end of a request from the logs of instances. The files are read twice, line by line,
 * so that their size does not matter.
 */
public final class ExplainCommand {

    /** Time before a request in which something may have gone wrong for it, in milliseconds. */
    private static final long BEFORE_MS = 5_000;

    /** Most lines of other requests' calls and of beliefs that are shown. */
    private static final int MAX_CONTEXT = 200;

    private static final Set<String> BELIEFS =
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
        List<LogLine> own = new ArrayList<>();
        Counter skipped = new Counter();
        Either<String, Void> first =
                each(
                        files,
                        skipped,
                        line -> {
                            if (line.field("requestId").equals(requestId)) {
                                own.add(line);
                            }
                        });
        if (first.isLeft()) {
            return CommandResult.message(ExitCode.USAGE, first.getLeft());
        }
        Vector<LogLine> lines = Vector.ofAll(own);
        if (lines.isEmpty()) {
            return CommandResult.message(
                    ExitCode.USAGE,
                    "no line of request %s in %s; %d line(s) were no log lines"
                            .formatted(requestId, files.mkString(", "), skipped.count));
        }
        Vector<LogLine> all = lines.appendAll(context(files, lines)).sortBy(LogLine::at);
        return CommandResult.done(
                new Report.Explained(
                        new Explanation(requestId, all, CauseFinder.find(all), skipped.count)));
    }

    /** Lines on what instances learned, and on calls, while the request was there. */
    private static Vector<LogLine> context(Vector<String> files, Vector<LogLine> own) {
        Instant end = own.map(LogLine::at).max().get();
        long lasted = own.map(line -> line.number("durationMs")).max().get();
        Instant start = end.minusMillis(Math.max(0, lasted) + BEFORE_MS);
        List<LogLine> found = new ArrayList<>();
        each(
                files,
                new Counter(),
                line -> {
                    boolean during = !line.at().isBefore(start) && !line.at().isAfter(end);
                    if (during && BELIEFS.contains(line.name())) {
                        found.add(line);
                    }
                });
        return Vector.ofAll(found).sortBy(LogLine::at).takeRight(MAX_CONTEXT);
    }

    /** Hands over every log line; left if a file cannot be read. */
    private static Either<String, Void> each(
            Vector<String> files, Counter skipped, Consumer<LogLine> consumer) {
        for (String file : files) {
            try (BufferedReader reader = open(file)) {
                String text = reader.readLine();
                while (text != null) {
                    LogLineParser.parse(file, text).peek(consumer).onEmpty(() -> skipped.count++);
                    text = reader.readLine();
                }
            } catch (IOException | InvalidPathException e) {
                return Either.left(
                        "file %s cannot be read (%s); check its name"
                                .formatted(file, e.getClass().getSimpleName()));
            }
        }
        return Either.right(null);
    }

    /** A reader that replaces bytes that are not UTF-8, since torn lines may hold any. */
    private static BufferedReader open(String file) throws IOException {
        return new BufferedReader(
                new InputStreamReader(
                        Files.newInputStream(Path.of(file)),
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .onMalformedInput(CodingErrorAction.REPLACE)
                                .onUnmappableCharacter(CodingErrorAction.REPLACE)));
    }

    /** Counts lines that were passed over. */
    private static final class Counter {

        private long count;
    }
}
