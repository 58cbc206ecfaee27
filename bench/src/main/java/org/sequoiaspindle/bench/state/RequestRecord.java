package org.sequoiaspindle.bench.state;

import io.vavr.collection.Vector;

/**
 * What came of a request.
 *
 * @param endNanos when the answer was complete, from the start of the run
 * @param outcome outcome in the body, or {@link #TRANSPORT_ERROR}
 * @param verified whether an answer that was given is the expected one
 * @param reroutes times that a dead instance refused the connection
 */
public record RequestRecord(
        PlannedRequest planned,
        long endNanos,
        String outcome,
        String reason,
        boolean verified,
        Vector<StageAttempt> stages,
        int reroutes) {

    /** Outcome of a request whose connection broke before an answer came. */
    public static final String TRANSPORT_ERROR = "TRANSPORT_ERROR";

    private static final long NANOS_PER_MS = 1_000_000;

    public boolean isAnswered() {
        return outcome.equals("ANSWERED");
    }

    /** Whether the whole answer came within the deadline. */
    public boolean isAttained() {
        return isAnswered()
                && verified
                && latencyNanos() <= planned.kind().deadlineMs() * NANOS_PER_MS;
    }

    /** Time since the intended start. */
    public long latencyNanos() {
        return endNanos - planned.atNanos();
    }
}
