package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;

/**
 * Final result of a request as returned to its caller.
 *
 * @param requestId identifier given to the request
 * @param outcome how the request ended
 * @param reason why the outcome is not {@link Outcome#ANSWERED}
 * @param detail human-readable explanation, empty for an answered request
 * @param output complete output, even if the tokens have already been streamed
 * @param generation generation of the configuration under which the request ran
 * @param attempts attempts in the order in which they ended
 */
public record Answer(
        RequestId requestId,
        Outcome outcome,
        OutcomeReason reason,
        String detail,
        String output,
        long generation,
        Vector<AttemptReport> attempts) {}
