package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.RequestAttempt;
import org.sequoiaspindle.core.common.LogEvent;

/** Reads the attempts at endpoints from the log lines of a request. */
final class AttemptReader {

    /** Reason of a failed attempt that got a complete response. */
    private static final Pattern STATUS_REASON = Pattern.compile("status (\\d{3})");

    private static final int SERVER_ERROR = 500;

    private AttemptReader() {}

    /**
     * Returns the attempts of a request.
     *
     * @param requestLines lines of the request, sorted by time
     */
    static Vector<RequestAttempt> read(Vector<LogLine> requestLines) {
        return requestLines.flatMap(AttemptReader::toAttempt);
    }

    private static Option<RequestAttempt> toAttempt(LogLine line) {
        if (line.eventName().equals(LogEvent.ATTEMPT_FAILED.name())) {
            return Option.of(failedAttempt(line));
        }
        return Option.when(endsWithAnswer(line), () -> answeredAttempt(line));
    }

    /**
     * Returns whether the line reports the end of a request with an answer that no line of a failed
     * attempt reports. Server errors are passed on after their attempt was logged as failed.
     */
    private static boolean endsWithAnswer(LogLine line) {
        return line.eventName().equals(CauseFinder.FORWARD_ENDED)
                && line.field("reason").equals("none")
                && line.numericField("status") < SERVER_ERROR;
    }

    private static RequestAttempt failedAttempt(LogLine line) {
        Matcher status = STATUS_REASON.matcher(line.field("reason"));
        return attempt(
                line,
                line.field("result"),
                status.matches() ? Long.parseLong(status.group(1)) : 0,
                line.field("reason"));
    }

    private static RequestAttempt answeredAttempt(LogLine line) {
        return attempt(line, RequestAttempt.ANSWERED, line.numericField("status"), "");
    }

    private static RequestAttempt attempt(LogLine line, String result, long status, String reason) {
        return new RequestAttempt(
                line.time(),
                line.source(),
                line.field("endpoint"),
                line.field("connection"),
                line.numericField("carriedRequests") + 1,
                result,
                status,
                reason);
    }
}
