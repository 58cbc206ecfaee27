package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import org.sequoiaspindle.cli.state.LogLine;

/** Determines from log lines why a forwarded request ended the way it did. */
public final class CauseFinder {

    /** Event that an instance logs when a forwarded request ends. */
    public static final String FORWARD_ENDED = "FORWARD_ENDED";

    private static final String ATTEMPT_FAILED = "ATTEMPT_FAILED";
    private static final String PIECES_MADE = "PIECES_MADE";
    private static final String STORE_UNAVAILABLE = "STORE_UNAVAILABLE";

    private CauseFinder() {}

    /**
     * Describes the cause of the request's result.
     *
     * @param lines lines of the request and of events around that time, sorted by time
     * @return empty if no line reports the end of the request
     */
    public static Option<String> find(Vector<LogLine> lines) {
        return lines.findLast(line -> line.eventName().equals(FORWARD_ENDED))
                .map(end -> describeCause(end, lines));
    }

    private static String describeCause(LogLine end, Vector<LogLine> lines) {
        return switch (end.field("reason")) {
            case "none" -> describeAnswer(end, lines);
            case "KEYS_UNCONFIRMED", "NO_CONFIGURATION" -> describeStoreLoss(end, lines);
            case "TOO_LATE" -> describeLateness(end, lines);
            case "ANSWER_LOST", "TIMED_OUT" ->
                    withLastFailedAttempt(lines, "the request was sent but no response arrived");
            case "FULL" -> withLastFailedAttempt(lines, "the endpoints tried were at capacity");
            case "NO_REPLICA" -> describeMissingEndpoint(end, lines);
            case "STAGE_FAILED" -> withLongestQueue(lines, "a stage failed");
            case "CLIENT_LEFT" -> "the client closed its connection";
            default -> "the instance rejected the request: " + end.field("reason");
        };
    }

    private static String describeAnswer(LogLine end, Vector<LogLine> lines) {
        long stagesMs = end.numericField("stagedMs");
        long firstBytesMs = Math.max(end.numericField("firstBytesMs"), stagesMs);
        if (stagesMs > 0 && stagesMs * 2 > firstBytesMs) {
            return withLongestQueue(
                    lines, "answered; stages took %d of %d ms".formatted(stagesMs, firstBytesMs));
        }
        return "answered by %s; first bytes after %d ms, stages took %d ms; load %s, age %s ms"
                .formatted(
                        end.field("endpoint"),
                        firstBytesMs,
                        stagesMs,
                        end.field("load"),
                        end.field("loadAgeMs"));
    }

    private static String describeStoreLoss(LogLine end, Vector<LogLine> lines) {
        return lines.filter(line -> line.source().equals(end.source()))
                .findLast(line -> line.eventName().equals(STORE_UNAVAILABLE))
                .map(
                        line ->
                                "%s could not reach the store from %s on: %s"
                                        .formatted(
                                                line.source(), line.time(), line.field("reason")))
                .getOrElse(
                        end.source()
                                + " had not read the store in time; no log line gives the reason");
    }

    private static String describeLateness(LogLine end, Vector<LogLine> lines) {
        return end.numericField("stagedMs") < 0
                ? withLongestQueue(lines, "the stages could not finish before the deadline")
                : withLastFailedAttempt(lines, "the deadline passed after the stages had finished");
    }

    private static String withLastFailedAttempt(Vector<LogLine> lines, String summary) {
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

    private static String describeMissingEndpoint(LogLine end, Vector<LogLine> lines) {
        return lines.findLast(
                        line ->
                                line.eventName().equals("ENDPOINT_LEAVING")
                                        && line.field("service").equals(end.field("service")))
                .map(line -> "no endpoint remained; the last one to leave was " + line.field("id"))
                .getOrElse("no endpoint of service " + end.field("service") + " was known");
    }

    private static String withLongestQueue(Vector<LogLine> lines, String summary) {
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
