package org.sequoiaspindle.bench.state;

import io.vavr.collection.Vector;

/**
 * Measured result of one request.
 *
 * @param endNanos time of the complete response, in nanoseconds since the start of the run
 * @param outcome outcome in the response body, or {@link #TRANSPORT_ERROR}
 * @param answerCorrect whether the request was answered with the expected answer
 * @param reroutes number of retries on another instance after a refused connection
 */
public record MeasuredRequest(
        PlannedRequest request,
        long endNanos,
        String outcome,
        String reason,
        boolean answerCorrect,
        Vector<StageAttempt> stages,
        int reroutes) {

    /** Outcome of a request without a valid response, for example after a lost connection. */
    public static final String TRANSPORT_ERROR = "TRANSPORT_ERROR";

    private static final long NANOS_PER_MS = 1_000_000;

    public boolean isAnswered() {
        return outcome.equals("ANSWERED");
    }

    /** Returns true if the correct answer arrived within the deadline. */
    public boolean isAnsweredInTime() {
        return isAnswered()
                && answerCorrect
                && latencyNanos() <= request.requestClass().deadlineMs() * NANOS_PER_MS;
    }

    /** Returns the time from the planned start to the response, including any delay in sending. */
    public long latencyNanos() {
        return endNanos - request.plannedStartNanos();
    }
}
