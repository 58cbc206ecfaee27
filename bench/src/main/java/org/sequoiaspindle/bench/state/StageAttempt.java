package org.sequoiaspindle.bench.state;

/** One attempt of a stage, as reported in a response. */
public record StageAttempt(
        String stage, String endpoint, int attempt, String result, long waitMs, long serviceMs) {

    /** Returns true if the endpoint completed the work. */
    public boolean isCompleted() {
        return result.equals("Completed");
    }
}
