package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Result of a stage.
 *
 * @param outcome outcome of this stage, regardless of earlier stages
 * @param reason why the outcome is not {@link Outcome#ANSWERED}
 * @param detail human-readable explanation
 * @param output complete output of an answered stage
 * @param reports attempts in the order in which they ended
 * @param mayHaveRun whether an endpoint may have executed the stage
 */
public record StageOutcome(
        Outcome outcome,
        OutcomeReason reason,
        String detail,
        String output,
        Vector<AttemptReport> reports,
        boolean mayHaveRun) {}
