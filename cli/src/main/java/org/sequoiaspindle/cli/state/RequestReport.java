package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;

/** What an instance said at the end of a request. */
public record RequestReport(
        Outcome outcome,
        String answer,
        String reason,
        String detail,
        String requestId,
        long generation,
        Vector<StageTiming> stages,
        String traceId) {

    /** One attempt of a stage with its times in milliseconds. */
    public record StageTiming(
            String stage,
            String endpoint,
            int attempt,
            String outcome,
            long waitMs,
            long serviceMs) {}
}
