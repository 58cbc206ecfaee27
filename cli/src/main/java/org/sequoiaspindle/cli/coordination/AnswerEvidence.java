package org.sequoiaspindle.cli.coordination;

import io.vavr.collection.Vector;
import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.RequestAttempt;

/**
 * What the logs contain about a request that succeeded.
 *
 * @param answer the attempt whose answer was passed on
 * @param attempts all attempts in the order in which they ended, with the answer
 * @param strayAnswers lines about answers that name the request, met it or came on one of its
 *     connections, sorted by time
 */
record AnswerEvidence(
        String requestId,
        RequestAttempt answer,
        Vector<RequestAttempt> attempts,
        Vector<LogLine> strayAnswers) {

    private static final String NO_REQUEST = "none";

    /** Returns the attempts before the one that was answered. */
    Vector<RequestAttempt> earlierAttempts() {
        return attempts.filter(attempt -> attempt != answer);
    }

    /** Returns the lines about further answers that name this request. */
    Vector<LogLine> furtherAnswers() {
        return strayAnswers.filter(line -> line.field("answeredId").equals(requestId));
    }

    /** Returns the lines about answers to other requests that arrived in place of the answer. */
    Vector<LogLine> precedingAnswers() {
        return strayAnswers.filter(line -> line.field("requestId").equals(requestId));
    }

    /** Returns the lines about what arrived on the connection of the answer after its end. */
    Vector<LogLine> bytesAfterAnswer() {
        return strayAnswers.filter(
                line ->
                        isOnIdleConnection(line)
                                && answer.isOnConnectionOf(line)
                                && line.numericField("carriedRequests") == answer.requestNumber());
    }

    static boolean isOnIdleConnection(LogLine line) {
        return line.field("requestId").equals(NO_REQUEST);
    }

    /** Returns whether the bytes are not the head of a response. */
    static boolean isUnreadable(LogLine line) {
        return line.numericField("status") == 0;
    }
}
