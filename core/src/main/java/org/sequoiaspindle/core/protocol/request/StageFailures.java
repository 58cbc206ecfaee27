package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.state.Outcome;

/** Outcomes of stages that were not answered, by what can be proved. Pure functions. */
final class StageFailures {

    private StageFailures() {}

    /** The last attempt failed and there will be no other. */
    static StageOutcome of(CallResult result, StageRunState held, boolean idempotent) {
        String detail = AttemptEnd.detail(result);
        if (!held.mayHaveRun()) {
            return outcome(Outcome.NOT_RUN, Reason.NO_ENDPOINT, detail, held, false);
        }
        if (result instanceof CallResult.Failed) {
            return outcome(Outcome.FAILED, Reason.ENDPOINT_ERROR, detail, held, true);
        }
        Outcome outcome = idempotent ? Outcome.FAILED : Outcome.UNKNOWN;
        return outcome(outcome, Reason.NO_VERDICT, detail, held, true);
    }

    /** No endpoint was assigned. */
    static StageOutcome refused(RefusalCause cause, StageRunState held, boolean idempotent) {
        Reason reason = cause == RefusalCause.NO_ENDPOINT ? Reason.NO_ENDPOINT : Reason.NO_TIME;
        String detail =
                cause == RefusalCause.NO_ENDPOINT
                        ? "the group has no usable endpoint in this data centre"
                        : "the deadline cannot be met";
        if (!held.mayHaveRun()) {
            return outcome(Outcome.NOT_RUN, reason, detail, held, false);
        }
        Outcome outcome = idempotent ? Outcome.FAILED : Outcome.UNKNOWN;
        return outcome(outcome, reason, detail, held, true);
    }

    /** The deadline passed; a call still in progress may have run. */
    static StageOutcome deadline(StageRunState held, boolean idempotent) {
        boolean mayHaveRun = held.mayHaveRun() || !held.calls().isEmpty();
        Outcome outcome = mayHaveRun && !idempotent ? Outcome.UNKNOWN : Outcome.DEADLINE_EXCEEDED;
        return outcome(outcome, Reason.DEADLINE, "the deadline passed", held, mayHaveRun);
    }

    /** The caller does not read its answer any more. */
    static StageOutcome callerGone(StageRunState held) {
        return outcome(
                Outcome.FAILED, Reason.CALLER_GONE, "the caller stopped reading", held, true);
    }

    private static StageOutcome outcome(
            Outcome outcome, Reason reason, String detail, StageRunState held, boolean mayHaveRun) {
        return new StageOutcome(outcome, reason, detail, "", held.reports(), mayHaveRun);
    }
}
