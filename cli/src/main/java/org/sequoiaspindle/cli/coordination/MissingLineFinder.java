package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.RequestAttempt;

/** Finds out which lines of a request the logs should contain and do not. */
public final class MissingLineFinder {

    private MissingLineFinder() {}

    /**
     * Describes what is missing.
     *
     * @param requestLines lines of the request, sorted by time
     * @param attempts attempts of the request
     * @param droppedLineReports lines in which instances report lost lines around the request
     */
    public static Vector<String> find(
            Vector<LogLine> requestLines,
            Vector<RequestAttempt> attempts,
            Vector<LogLine> droppedLineReports) {
        Vector<LogLine> ends =
                requestLines.filter(line -> line.eventName().equals(CauseFinder.FORWARD_ENDED));
        Vector<String> missingLines =
                ends.isEmpty()
                        ? Vector.of(
                                "line 304 of this request: its instance is not among the files,"
                                        + " dropped it, was killed before it wrote it, or logs no"
                                        + " events of level info")
                        : ends.flatMap(end -> findUnloggedSends(end, attempts));
        return missingLines.appendAll(
                droppedLineReports
                        .filter(
                                report ->
                                        ends.isEmpty()
                                                || ends.exists(
                                                        end ->
                                                                end.source()
                                                                        .equals(report.source())))
                        .map(MissingLineFinder::describeDroppedLines));
    }

    private static Vector<String> findUnloggedSends(LogLine end, Vector<RequestAttempt> attempts) {
        long sends = end.numericField("sends");
        int loggedSends =
                attempts.count(
                        attempt ->
                                attempt.namesConnection() && attempt.source().equals(end.source()));
        boolean isSuccessWithConnection =
                end.field("reason").equals("none") && !end.field("connection").isEmpty();
        return isSuccessWithConnection && loggedSends < sends
                ? Vector.of(
                        "%d of the %d sends that line 304 counts have no line 305"
                                .formatted(sends - loggedSends, sends))
                : Vector.empty();
    }

    private static String describeDroppedLines(LogLine report) {
        long durationMs = report.numericField("forMs");
        return "%s lines of %s between %s and %s (event 109)"
                .formatted(
                        report.field("lines"),
                        report.source(),
                        durationMs < 0 ? "an unknown time" : report.time().minusMillis(durationMs),
                        report.time());
    }
}
