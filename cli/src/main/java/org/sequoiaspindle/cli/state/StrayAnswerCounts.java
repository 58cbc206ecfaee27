package org.sequoiaspindle.cli.state;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * Numbers of answers besides the answer to the request in progress.
 *
 * @param endpoints counts of single endpoints
 * @param otherEndpoints counts of the endpoints beyond the limit of the report
 * @param droppedLines number of log lines that the instances report as dropped
 */
public record StrayAnswerCounts(
        Map<String, Counts> endpoints, Counts otherEndpoints, long droppedLines) {

    public static final StrayAnswerCounts NONE =
            new StrayAnswerCounts(HashMap.empty(), Counts.NONE, 0);

    /**
     * Counts of one endpoint.
     *
     * @param idle number on connections without a request in progress
     * @param busy number on connections with a request in progress
     * @param unreadable number of those on idle connections that are not the head of a response
     */
    public record Counts(long idle, long busy, long unreadable) {

        public static final Counts NONE = new Counts(0, 0, 0);

        /** Returns these counts and the other ones together. */
        public Counts plus(Counts other) {
            return new Counts(idle + other.idle, busy + other.busy, unreadable + other.unreadable);
        }

        public long total() {
            return idle + busy;
        }
    }

    /** Returns the counts of all endpoints together. */
    public Counts total() {
        return endpoints.values().fold(otherEndpoints, Counts::plus);
    }
}
