package org.sequoiaspindle.daemon.protocol;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.protocol.request.RequestSummary;

/** Logs each finished request: a rejected one as a rejection, any other at level debug. */
public final class RequestLogger implements Consumer<RequestSummary> {

    private static final Set<OutcomeReason> REJECTION_REASONS =
            HashSet.of(
                    OutcomeReason.UNAUTHENTICATED,
                    OutcomeReason.FORBIDDEN,
                    OutcomeReason.UNKNOWN_PIPELINE,
                    OutcomeReason.MALFORMED);

    private final EventLog events;

    public RequestLogger(EventLog events) {
        this.events = events;
    }

    @Override
    public void accept(RequestSummary record) {
        Answer answer = record.answer();
        if (REJECTION_REASONS.contains(answer.reason())) {
            events.record(LogEvent.REQUEST_REJECTED, HashMap.of("reason", answer.reason().name()));
            return;
        }
        events.record(
                LogEvent.REQUEST_ENDED,
                HashMap.of(
                        "requestId",
                        answer.requestId().value(),
                        "pipeline",
                        record.pipeline(),
                        "outcome",
                        answer.outcome().name(),
                        "reason",
                        answer.reason().name(),
                        "durationMs",
                        record.millis()));
    }
}
