package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import org.sequoiaspindle.cli.state.LogLine;

/** Determines the cause of the result of a forwarded request from log lines. */
public final class CauseFinder {

    /** Event that an instance logs when a forwarded request ends. */
    public static final String FORWARD_ENDED = "FORWARD_ENDED";

    private static final String ATTEMPT_FAILED = "ATTEMPT_FAILED";
    private static final String PIECES_MADE = "PIECES_MADE";
    private static final String STORE_UNAVAILABLE = "STORE_UNAVAILABLE";

    private CauseFinder() {}

    /**
     * Describes the cause of the result of a request.
     *
     * @param lines log lines of the request and of instance events around the time of the request,
     *     sorted by time
     * @return the cause, empty if no line reports the end of the request
     */
    public static Option<String> find(Vector<LogLine> lines) {
        return lines.findLast(line -> line.eventName().equals(FORWARD_ENDED))
                .map(endLine -> describeCause(endLine, lines));
    }

    private static String describeCause(LogLine endLine, Vector<LogLine> lines) {
        return switch (endLine.field("reason")) {
            case "none" -> describeAnswer(endLine, lines);
            case "KEYS_UNCONFIRMED", "NO_CONFIGURATION" -> describeStoreOutage(endLine, lines);
            case "TOO_LATE" -> describeMissedDeadline(endLine, lines);
            case "ANSWER_LOST", "TIMED_OUT" ->
                    appendLastFailedAttempt(lines, "the request was sent but no response arrived");
            case "FULL" -> appendLastFailedAttempt(lines, "the endpoints tried were at capacity");
            case "NO_REPLICA" -> describeMissingEndpoint(endLine, lines);
            case "STAGE_FAILED" -> appendLongestQueue(lines, "a stage failed");
            case "HARMFUL_PROMPT" -> "replicas crashed under a part of the prompt; see event 607";
            case "CLIENT_LEFT" -> "the client closed its connection";
            default -> "the instance rejected the request: " + endLine.field("reason");
        };
    }

    private static String describeAnswer(LogLine endLine, Vector<LogLine> lines) {
        long stagesMs = endLine.numericField("stagedMs");
        long firstBytesMs = Math.max(endLine.numericField("firstBytesMs"), stagesMs);
        if (stagesMs > 0 && stagesMs * 2 > firstBytesMs) {
            return appendLongestQueue(
                    lines, "answered; stages took %d of %d ms".formatted(stagesMs, firstBytesMs));
        }
        return "answered by %s; first bytes after %d ms, stages took %d ms; load %s, age %s ms"
                .formatted(
                        endLine.field("endpoint"),
                        firstBytesMs,
                        stagesMs,
                        endLine.field("load"),
                        endLine.field("loadAgeMs"));
    }

    private static String describeStoreOutage(LogLine endLine, Vector<LogLine> lines) {
        return lines.filter(line -> line.source().equals(endLine.source()))
                .findLast(line -> line.eventName().equals(STORE_UNAVAILABLE))
                .map(
                        line ->
                                "%s could not reach the store from %s on: %s"
                                        .formatted(
                                                line.source(), line.time(), line.field("reason")))
                .getOrElse(
                        endLine.source()
                                + " had not read the store in time; no log line gives the reason");
    }

    private static String describeMissedDeadline(LogLine endLine, Vector<LogLine> lines) {
        return endLine.numericField("stagedMs") < 0
                ? appendLongestQueue(lines, "the stages could not finish before the deadline")
                : appendLastFailedAttempt(
                        lines, "the deadline passed after the stages had finished");
    }

    private static String appendLastFailedAttempt(Vector<LogLine> lines, String summary) {
        return lines.findLast(line -> line.eventName().equals(ATTEMPT_FAILED))
                .map(
                        line ->
                                "%s; endpoint %s: %s, %s"
                                        .formatted(
                                                summary,
                                                line.field("endpoint"),
                                                line.field("result"),
                                                line.field("reason")))
                .getOrElse(summary + "; no failed attempt was logged");
    }

    private static String describeMissingEndpoint(LogLine endLine, Vector<LogLine> lines) {
        return lines.findLast(
                        line ->
                                line.eventName().equals("ENDPOINT_LEAVING")
                                        && line.field("service").equals(endLine.field("service")))
                .map(line -> "no endpoint remained; the last one to leave was " + line.field("id"))
                .getOrElse("no endpoint of service " + endLine.field("service") + " was known");
    }

    private static String appendLongestQueue(Vector<LogLine> lines, String summary) {
        return lines.filter(line -> line.eventName().equals(PIECES_MADE))
                .maxBy(Comparator.comparingLong(line -> line.numericField("waiting")))
                .map(
                        line ->
                                "%s; longest queue: %d pieces of service %s waiting, outcome %s"
                                        .formatted(
                                                summary,
                                                line.numericField("waiting"),
                                                line.field("service"),
                                                line.field("outcome")))
                .getOrElse(summary);
    }
}
