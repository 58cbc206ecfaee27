package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Pure functions that build the outcomes of failed stages. An outcome depends on whether an
 * endpoint may have executed the stage.
 */
final class StageFailures {

    private StageFailures() {}

    /** Returns the outcome of a stage whose last attempt failed and is not retried. */
    static StageOutcome lastAttemptFailed(
            CallResult result, StageExecutionState state, boolean idempotent) {
        String detail = CallResults.reasonOf(result);
        if (!state.mayHaveRun()) {
            return outcome(Outcome.NOT_RUN, OutcomeReason.NO_ENDPOINT, detail, state, false);
        }
        if (result instanceof CallResult.Failed) {
            return outcome(Outcome.FAILED, OutcomeReason.ENDPOINT_ERROR, detail, state, true);
        }
        Outcome outcome = idempotent ? Outcome.FAILED : Outcome.UNKNOWN;
        return outcome(outcome, OutcomeReason.NO_VERDICT, detail, state, true);
    }

    /** Returns the outcome of a stage to which the scheduler assigned no endpoint. */
    static StageOutcome noEndpointAssigned(
            RefusalCause cause, StageExecutionState state, boolean idempotent) {
        OutcomeReason reason =
                cause == RefusalCause.NO_ENDPOINT
                        ? OutcomeReason.NO_ENDPOINT
                        : OutcomeReason.NO_TIME;
        String detail =
                cause == RefusalCause.NO_ENDPOINT
                        ? "the group has no usable endpoint in this data centre"
                        : "the deadline cannot be met";
        if (!state.mayHaveRun()) {
            return outcome(Outcome.NOT_RUN, reason, detail, state, false);
        }
        Outcome outcome = idempotent ? Outcome.FAILED : Outcome.UNKNOWN;
        return outcome(outcome, reason, detail, state, true);
    }

    /**
     * Returns the outcome of a stage whose deadline passed. A call that is still in flight may have
     * been executed.
     */
    static StageOutcome deadlinePassed(StageExecutionState state, boolean idempotent) {
        boolean mayHaveRun = state.mayHaveRun() || !state.callsInFlight().isEmpty();
        Outcome outcome = mayHaveRun && !idempotent ? Outcome.UNKNOWN : Outcome.DEADLINE_EXCEEDED;
        return outcome(outcome, OutcomeReason.DEADLINE, "the deadline passed", state, mayHaveRun);
    }

    /** Returns the outcome of a stage whose caller stopped reading the answer. */
    static StageOutcome callerGone(StageExecutionState state) {
        return outcome(
                Outcome.FAILED,
                OutcomeReason.CALLER_GONE,
                "the caller stopped reading",
                state,
                true);
    }

    private static StageOutcome outcome(
            Outcome outcome,
            OutcomeReason reason,
            String detail,
            StageExecutionState state,
            boolean mayHaveRun) {
        return new StageOutcome(outcome, reason, detail, "", state.reports(), mayHaveRun);
    }
}
