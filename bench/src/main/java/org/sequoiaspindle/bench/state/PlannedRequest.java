package org.sequoiaspindle.bench.state;

/**
 * A request that will be sent.
 *
 * @param atNanos intended start, from the start of the run
 * @param input unique within a run
 * @param draw fixed random number that picks the entry instance
 */
public record PlannedRequest(
        long atNanos,
        RequestClass kind,
        String organisation,
        String input,
        int maxTokens,
        int draw) {}
