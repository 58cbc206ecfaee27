package org.sequoiaspindle.cli.transport;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import org.sequoiaspindle.cli.state.AnswerExplanation;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestAttempt;
import org.sequoiaspindle.cli.state.RequestExplanation;
import org.sequoiaspindle.cli.state.StrayAnswerCounts;
import org.sequoiaspindle.cli.state.StrayAnswerCounts.Counts;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Formats what the logs of instances show as human-readable text. */
final class ExplanationTextFormatter {

    private ExplanationTextFormatter() {}

    static String format(RequestExplanation explanation) {
        AnswerExplanation answer = explanation.answer();
        String cause =
                explanation.cause().getOrElse("the logs do not contain the end of this request");
        return explanation
                        .lines()
                        .map(ExplanationTextFormatter::formatLogLine)
                        .appendAll(answer.attempts().zipWithIndex(ExplanationTextFormatter::format))
                        .appendAll(
                                answer.strayAnswers().map(line -> "stray: " + formatLogLine(line)))
                        .append("cause: " + cause)
                        .appendAll(answer.finding().map(finding -> "answer: " + finding))
                        .appendAll(answer.missing().map(missing -> "missing: " + missing))
                        .map(line -> ObjectNames.printable(line) + "\n")
                        .mkString()
                + formatOmitted(answer.omittedStrayAnswers())
                + formatSkipped(explanation.skippedLines());
    }

    /** Formats the overview as a table that begins with the endpoints with the most answers. */
    static String format(Report.StrayAnswers report) {
        StrayAnswerCounts counts = report.counts();
        Vector<Vector<String>> rows =
                counts.endpoints()
                        .toVector()
                        .sortBy(row -> -row._2().total())
                        .map(row -> formatRow(row._1(), row._2()));
        Vector<Vector<String>> lastRows =
                counts.otherEndpoints().total() == 0
                        ? Vector.empty()
                        : Vector.of(formatRow("(other endpoints)", counts.otherEndpoints()));
        return TextTable.of(
                        Vector.of("endpoint", "idle", "busy", "not a response"),
                        rows.appendAll(lastRows).append(formatRow("(all)", counts.total())))
                + "%d line(s) were dropped by the instances%n".formatted(counts.droppedLines())
                + formatSkipped(report.skippedLines());
    }

    private static Vector<String> formatRow(String name, Counts counts) {
        return Vector.of(
                name,
                Long.toString(counts.idle()),
                Long.toString(counts.busy()),
                Long.toString(counts.unreadable()));
    }

    private static String format(RequestAttempt attempt, int index) {
        String connection =
                attempt.namesConnection()
                        ? "connection %s, %s"
                                .formatted(
                                        attempt.connection(),
                                        attempt.requestNumber() > 0
                                                ? "request " + attempt.requestNumber() + " on it"
                                                : "its number of requests is not logged")
                        : "no connection logged";
        String status = attempt.status() > 0 ? "status " + attempt.status() : attempt.reason();
        return "attempt %d: %s %s at %s (%s): %s, %s"
                .formatted(
                        index + 1,
                        attempt.time(),
                        attempt.source(),
                        attempt.endpoint(),
                        connection,
                        attempt.result(),
                        status);
    }

    private static String formatLogLine(LogLine line) {
        String fields =
                line.fields()
                        .toVector()
                        .sortBy(Tuple2::_1)
                        .map(field -> field._1() + "=" + field._2())
                        .mkString(" ");
        return line.time() + " " + line.source() + " " + line.eventName() + " " + fields;
    }

    private static String formatOmitted(long lines) {
        return lines == 0 ? "" : "%d further line(s) about stray answers%n".formatted(lines);
    }

    private static String formatSkipped(long lines) {
        return "%d line(s) were not log lines%n".formatted(lines);
    }
}
