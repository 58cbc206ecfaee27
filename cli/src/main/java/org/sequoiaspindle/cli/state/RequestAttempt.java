package org.sequoiaspindle.cli.state;

import java.time.Instant;

/**
 * One attempt of an instance to have a request executed by an endpoint.
 *
 * @param time time at which the attempt ended
 * @param source name of the instance or file that contains the line
 * @param connection connection to the endpoint, "none" if nothing was sent, empty if the log does
 *     not name it
 * @param requestNumber number of the request on the connection, from 1; 0 if the log does not state
 *     it
 * @param result result of the attempt; ANSWERED for the one whose answer was passed on
 * @param status status of the response, 0 if there is none
 * @param reason why the attempt failed, empty for the one whose answer was passed on
 */
public record RequestAttempt(
        Instant time,
        String source,
        String endpoint,
        String connection,
        long requestNumber,
        String result,
        long status,
        String reason) {

    public static final String ANSWERED = "ANSWERED";

    private static final String NOT_EXECUTED = "NOT_EXECUTED";
    private static final String INPUTS_GONE = "INPUTS_GONE";
    private static final String NO_CONNECTION = "none";

    public boolean isAnswer() {
        return result.equals(ANSWERED);
    }

    /** Returns whether the endpoint stated that it did not execute the request. */
    public boolean isRefusal() {
        return result.equals(NOT_EXECUTED) || result.equals(INPUTS_GONE);
    }

    /** Returns whether the request was sent on a connection that the log names. */
    public boolean namesConnection() {
        return !connection.isEmpty() && !connection.equals(NO_CONNECTION);
    }

    /** Returns whether the line was written on the same instance about the same connection. */
    public boolean isOnConnectionOf(LogLine line) {
        return namesConnection()
                && source.equals(line.source())
                && connection.equals(line.field("connection"));
    }
}
