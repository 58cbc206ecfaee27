package org.sequoiaspindle.bench.state;

/**
 * Request that a run sends at a planned time.
 *
 * @param plannedStartNanos planned time of sending, in nanoseconds since the start of the run
 * @param input input text, unique within a run
 * @param randomNumber random number that selects the entry instance to receive the request
 */
public record PlannedRequest(
        long plannedStartNanos,
        RequestClass requestClass,
        String organisation,
        String input,
        int maxTokens,
        int randomNumber) {}
