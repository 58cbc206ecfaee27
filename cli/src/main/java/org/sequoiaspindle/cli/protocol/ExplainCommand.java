package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.sequoiaspindle.cli.coordination.AnswerFinder;
import org.sequoiaspindle.cli.coordination.CauseFinder;
import org.sequoiaspindle.cli.coordination.MissingLineFinder;
import org.sequoiaspindle.cli.state.AnswerExplanation;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestAttempt;
import org.sequoiaspindle.cli.state.RequestExplanation;
import org.sequoiaspindle.core.common.LogEvent;

/** Explains the result of a request from the logs of instances. The files are read twice. */
public final class ExplainCommand {

    /** Events up to this time before the start of a request may have caused the result. */
    private static final long CONTEXT_BEFORE_REQUEST_MS = 5_000;

    /** Maximum number of lines in the report that do not belong to the request itself. */
    private static final int MAX_CONTEXT_LINES = 200;

    /** Maximum number of lines about stray answers of each kind in the report. */
    private static final int MAX_STRAY_ANSWERS = 200;

    /** Maximum number of reports of lost lines in the report. */
    private static final int MAX_DROPPED_LINE_REPORTS = 20;

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
        RequestLines requestLines = new RequestLines();
        return LogFiles.forEachLine(files, line -> requestLines.add(requestId, line))
                .flatMap(
                        skippedLines ->
                                requestLines.isEmpty()
                                        ? Either.left(
                                                describeAbsence(
                                                        requestId,
                                                        files,
                                                        requestLines,
                                                        skippedLines))
                                        : Either.right(
                                                explain(
                                                        requestId,
                                                        files,
                                                        requestLines,
                                                        skippedLines)))
                .fold(
                        error -> CommandResult.message(ExitCode.USAGE, error),
                        explanation -> CommandResult.done(new Report.Explanation(explanation)));
    }

    private static String describeAbsence(
            String requestId, Vector<String> files, RequestLines requestLines, long skippedLines) {
        return "no line of request %s in %s; %d line(s) were not log lines, and the instances"
                        .formatted(requestId, files.mkString(", "), skippedLines)
                + " report %d dropped line(s)".formatted(requestLines.droppedLines);
    }

    private static RequestExplanation explain(
            String requestId, Vector<String> files, RequestLines requestLines, long skippedLines) {
        Vector<LogLine> lines = Vector.ofAll(requestLines.own).sortBy(LogLine::time);
        Vector<RequestAttempt> attempts = AnswerFinder.attempts(lines);
        SurroundingLines surroundings =
                new SurroundingLines(
                        requestId,
                        lines.isEmpty() ? requestLines.strayAnswers.toVector() : lines,
                        attempts);
        LogFiles.forEachLine(files, surroundings::add);
        Vector<LogLine> strayAnswers =
                requestLines
                        .strayAnswers
                        .toVector()
                        .appendAll(surroundings.strayAnswers.toVector())
                        .sortBy(LogLine::time);
        Vector<LogLine> allLines =
                lines.appendAll(surroundings.contextLines()).sortBy(LogLine::time);
        return new RequestExplanation(
                requestId,
                allLines,
                CauseFinder.find(allLines),
                new AnswerExplanation(
                        attempts,
                        strayAnswers,
                        requestLines.strayAnswers.omitted + surroundings.strayAnswers.omitted,
                        MissingLineFinder.find(
                                lines, attempts, surroundings.droppedLineReports.toVector()),
                        AnswerFinder.find(requestId, attempts, strayAnswers)),
                skippedLines);
    }

    private static boolean isStrayAnswer(LogLine line) {
        return line.eventName().equals(LogEvent.STRAY_ANSWER.name());
    }

    private static boolean isDroppedLineReport(LogLine line) {
        return line.eventName().equals(LogEvent.OUTPUT_DROPPED.name());
    }

    private static boolean names(LogLine line, String requestId) {
        return line.field("requestId").equals(requestId)
                || line.field("answeredId").equals(requestId);
    }

    /** Collects the first lines up to a limit and counts the others. */
    private static final class LimitedLines {

        private final int limit;
        private final List<LogLine> lines = new ArrayList<>();
        private long omitted;

        private LimitedLines(int limit) {
            this.limit = limit;
        }

        private void add(LogLine line) {
            if (lines.size() < limit) {
                lines.add(line);
            } else {
                omitted++;
            }
        }

        private Vector<LogLine> toVector() {
            return Vector.ofAll(lines);
        }
    }

    /** Lines that name the request, which the first pass collects. */
    private static final class RequestLines {

        private final List<LogLine> own = new ArrayList<>();
        private final LimitedLines strayAnswers = new LimitedLines(MAX_STRAY_ANSWERS);
        private long droppedLines;

        private void add(String requestId, LogLine line) {
            if (isDroppedLineReport(line)) {
                droppedLines += Math.max(0, line.numericField("lines"));
            } else if (isStrayAnswer(line) && names(line, requestId)) {
                strayAnswers.add(line);
            } else if (line.field("requestId").equals(requestId)) {
                own.add(line);
            }
        }

        private boolean isEmpty() {
            return own.isEmpty() && strayAnswers.lines.isEmpty();
        }
    }

    /** Lines around the request, which the second pass collects. */
    private static final class SurroundingLines {

        private final String requestId;
        private final Vector<RequestAttempt> attempts;
        private final Instant start;
        private final Instant end;
        private final List<LogLine> context = new ArrayList<>();
        private final LimitedLines strayAnswers = new LimitedLines(MAX_STRAY_ANSWERS);
        private final LimitedLines droppedLineReports = new LimitedLines(MAX_DROPPED_LINE_REPORTS);

        private SurroundingLines(
                String requestId, Vector<LogLine> requestLines, Vector<RequestAttempt> attempts) {
            this.requestId = requestId;
            this.attempts = attempts;
            end = requestLines.map(LogLine::time).max().get();
            long durationMs = requestLines.map(line -> line.numericField("durationMs")).max().get();
            start = end.minusMillis(Math.max(0, durationMs) + CONTEXT_BEFORE_REQUEST_MS);
        }

        private void add(LogLine line) {
            if (isStrayAnswer(line)
                    && !names(line, requestId)
                    && attempts.exists(attempt -> attempt.isOnConnectionOf(line))) {
                strayAnswers.add(line);
            } else if (isDroppedLineReport(line) && reportsLossDuringRequest(line)) {
                droppedLineReports.add(line);
            } else if (CONTEXT_EVENTS.contains(line.eventName())
                    && !line.time().isBefore(start)
                    && !line.time().isAfter(end)) {
                context.add(line);
            }
        }

        /** Assumes a loss of unknown beginning to have begun before the request. */
        private boolean reportsLossDuringRequest(LogLine report) {
            long durationMs = report.numericField("forMs");
            return !report.time().isBefore(start)
                    && (durationMs < 0 || !report.time().minusMillis(durationMs).isAfter(end));
        }

        private Vector<LogLine> contextLines() {
            return Vector.ofAll(context).sortBy(LogLine::time).takeRight(MAX_CONTEXT_LINES);
        }
    }
}
