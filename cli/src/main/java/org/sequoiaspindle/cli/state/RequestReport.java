package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;

/** Report of an instance on a finished request. */
public record RequestReport(
        Outcome outcome,
        String answer,
        String reason,
        String detail,
        String requestId,
        long generation,
        Vector<StageTiming> stages,
        String traceId) {

    /** One attempt of a stage, with its waiting and service times in milliseconds. */
    public record StageTiming(
            String stage,
            String endpoint,
            int attempt,
            String outcome,
            long waitMs,
            long serviceMs) {}
}
