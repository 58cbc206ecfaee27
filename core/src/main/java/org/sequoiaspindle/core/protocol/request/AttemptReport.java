package org.sequoiaspindle.core.protocol.request;

import org.sequoiaspindle.core.protocol.endpoint.CallResult;

/**
 * One attempt of a stage, as shown to the caller and in traces.
 *
 * @param stage name of the stage
 * @param group endpoint group of the stage
 * @param endpoint endpoint to which the call was sent, or the name of the group for a call
 *     forwarded to another data centre
 * @param attempt number of the attempt within the stage, from 1
 * @param result simple class name of the {@code CallResult}
 * @param waitMillis time in milliseconds from submission to the scheduler until the call was sent
 * @param serviceMillis time in milliseconds from sending the call to its result
 */
public record AttemptReport(
        String stage,
        String group,
        String endpoint,
        int attempt,
        String result,
        long waitMillis,
        long serviceMillis) {

    /** Returns true if the result proves that the endpoint did not execute the attempt. */
    public boolean provablyNotRun() {
        return result.equals(CallResult.NotSent.class.getSimpleName())
                || result.equals(CallResult.Refused.class.getSimpleName());
    }
}
