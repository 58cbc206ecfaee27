package org.sequoiaspindle.core.protocol.request;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;

/**
 * What a caller is told at the end of its request.
 *
 * @param requestId identifier given to the request
 * @param outcome what became of the request
 * @param reason why the outcome is not {@link Outcome#ANSWERED}
 * @param detail text for people, empty for an answered request
 * @param output whole answer, also when it was streamed before
 * @param generation generation of the configuration that the request ran on
 * @param stages attempts in the order in which they ended
 */
public record Answer(
        RequestId requestId,
        Outcome outcome,
        Reason reason,
        String detail,
        String output,
        long generation,
        Vector<StageReport> stages) {}
