package org.sequoiaspindle.bench.state;

/** One attempt of a stage as an answer reports it. */
public record StageAttempt(
        String stage, String endpoint, int attempt, String result, long waitMs, long serviceMs) {

    /** Whether the endpoint did the whole work. */
    public boolean isCompleted() {
        return result.equals("Completed");
    }
}
