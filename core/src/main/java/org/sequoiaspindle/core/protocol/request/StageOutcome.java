package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;

/**
 * How a stage ended.
 *
 * @param outcome class of the outcome of this stage alone
 * @param reason why it is not {@link Outcome#ANSWERED}
 * @param detail text for people
 * @param output whole output of an answered stage
 * @param reports attempts in the order in which they ended
 * @param mayHaveRun whether an endpoint may have executed the stage
 */
public record StageOutcome(
        Outcome outcome,
        Reason reason,
        String detail,
        String output,
        Vector<StageReport> reports,
        boolean mayHaveRun) {}
