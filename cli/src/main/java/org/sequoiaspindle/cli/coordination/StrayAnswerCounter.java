package org.sequoiaspindle.cli.coordination;

import org.sequoiaspindle.cli.state.LogLine;
import org.sequoiaspindle.cli.state.StrayAnswerCounts;
import org.sequoiaspindle.cli.state.StrayAnswerCounts.Counts;
import org.sequoiaspindle.core.common.LogEvent;

/** Counts the log lines about answers besides the answer to the request in progress. */
public final class StrayAnswerCounter {

    /**
     * Maximum number of endpoints that are counted singly, which bounds the memory. Each restart of
     * an endpoint counts as another one.
     */
    static final int MAX_ENDPOINTS = 10_000;

    private StrayAnswerCounter() {}

    /** Returns the counts with the line included. Lines of other events change nothing. */
    public static StrayAnswerCounts count(StrayAnswerCounts counts, LogLine line) {
        if (line.eventName().equals(LogEvent.OUTPUT_DROPPED.name())) {
            return new StrayAnswerCounts(
                    counts.endpoints(),
                    counts.otherEndpoints(),
                    counts.droppedLines() + Math.max(0, line.numericField("lines")));
        }
        return line.eventName().equals(LogEvent.STRAY_ANSWER.name())
                ? add(counts, line.field("endpoint"), countsOf(line))
                : counts;
    }

    private static StrayAnswerCounts add(StrayAnswerCounts counts, String endpoint, Counts added) {
        boolean isCountedSingly =
                counts.endpoints().containsKey(endpoint)
                        || counts.endpoints().size() < MAX_ENDPOINTS;
        return isCountedSingly
                ? new StrayAnswerCounts(
                        counts.endpoints().put(endpoint, added, Counts::plus),
                        counts.otherEndpoints(),
                        counts.droppedLines())
                : new StrayAnswerCounts(
                        counts.endpoints(),
                        counts.otherEndpoints().plus(added),
                        counts.droppedLines());
    }

    private static Counts countsOf(LogLine line) {
        boolean isIdle = AnswerEvidence.isOnIdleConnection(line);
        return new Counts(
                isIdle ? 1 : 0,
                isIdle ? 0 : 1,
                isIdle && AnswerEvidence.isUnreadable(line) ? 1 : 0);
    }
}
