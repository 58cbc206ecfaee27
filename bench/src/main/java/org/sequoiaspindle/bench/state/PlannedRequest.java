package org.sequoiaspindle.bench.state;

/**
 * A request of a run, before it is sent.
 *
 * @param plannedStartNanos planned time of sending, in nanoseconds since the start of the run
 * @param input input text, unique within a run
 * @param randomNumber selects the entry instance that receives the request
 */
public record PlannedRequest(
        long plannedStartNanos,
        RequestClass requestClass,
        String organisation,
        String input,
        int maxTokens,
        int randomNumber) {}
