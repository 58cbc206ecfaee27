package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import org.sequoiaspindle.cli.state.LogLine;

/** Names the first cause of a request's end from the lines around it. */
public final class CauseFinder {

    /** Event that ends a forwarded request. */
    public static final String ENDED = "FORWARD_ENDED";

    private static final String ATTEMPT_FAILED = "ATTEMPT_FAILED";
    private static final String PIECES_MADE = "PIECES_MADE";
    private static final String STORE_LOST = "STORE_UNAVAILABLE";

    private CauseFinder() {}

    /**
     * Finds the cause.
     *
     * @param lines lines of the request and of its time, by time
     * @return empty if no line ends the request
     */
    public static Option<String> find(Vector<LogLine> lines) {
        return lines.findLast(line -> line.name().equals(ENDED)).map(end -> cause(end, lines));
    }

    private static String cause(LogLine end, Vector<LogLine> lines) {
        return switch (end.field("reason")) {
            case "none" -> answered(end, lines);
            case "KEYS_UNCONFIRMED", "NO_CONFIGURATION" -> storeLost(end, lines);
            case "TOO_LATE" -> tooLate(end, lines);
            case "ANSWER_LOST", "TIMED_OUT" -> attempt(lines, "it was sent and no answer came");
            case "FULL" -> attempt(lines, "the endpoints that were asked had no room");
            case "NO_REPLICA" -> left(end, lines);
            case "STAGE_FAILED" -> queue(lines, "a stage failed");
            case "CLIENT_LEFT" -> "the client closed its connection";
            default -> "the instance refused it: " + end.field("reason");
        };
    }

    private static String answered(LogLine end, Vector<LogLine> lines) {
        long staged = end.number("stagedMs");
        long first = Math.max(end.number("firstBytesMs"), staged);
        if (staged > 0 && staged * 2 > first) {
            return queue(lines, "answered; stages took %d of %d ms".formatted(staged, first));
        }
        return "answered by %s, first bytes after %d ms, of which stages %d; load %s, %s ms old"
                .formatted(
                        end.field("endpoint"),
                        first,
                        staged,
                        end.field("load"),
                        end.field("loadAgeMs"));
    }

    private static String storeLost(LogLine end, Vector<LogLine> lines) {
        return lines.filter(line -> line.source().equals(end.source()))
                .findLast(line -> line.name().equals(STORE_LOST))
                .map(
                        line ->
                                "%s lost the store at %s: %s"
                                        .formatted(line.source(), line.at(), line.field("reason")))
                .getOrElse(end.source() + " had not read the store in time; no line tells why");
    }

    private static String tooLate(LogLine end, Vector<LogLine> lines) {
        return end.number("stagedMs") < 0
                ? queue(lines, "its stages could not end in time")
                : attempt(lines, "its time was up after its stages");
    }

    private static String attempt(Vector<LogLine> lines, String what) {
        return lines.findLast(line -> line.name().equals(ATTEMPT_FAILED))
                .map(
                        line ->
                                "%s; endpoint %s: %s, %s"
                                        .formatted(
                                                what,
                                                line.field("endpoint"),
                                                line.field("result"),
                                                line.field("reason")))
                .getOrElse(what + "; no attempt failed before");
    }

    private static String left(LogLine end, Vector<LogLine> lines) {
        return lines.findLast(
                        line ->
                                line.name().equals("ENDPOINT_LEAVING")
                                        && line.field("service").equals(end.field("service")))
                .map(line -> "no endpoint was left; the last one to leave was " + line.field("id"))
                .getOrElse("no endpoint of service " + end.field("service") + " was known");
    }

    private static String queue(Vector<LogLine> lines, String what) {
        return lines.filter(line -> line.name().equals(PIECES_MADE))
                .maxBy(Comparator.comparingLong(line -> line.number("waiting")))
                .map(
                        line ->
                                "%s; longest queue: %d pieces of service %s waiting, call %s"
                                        .formatted(
                                                what,
                                                line.number("waiting"),
                                                line.field("service"),
                                                line.field("outcome")))
                .getOrElse(what);
    }
}
