package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.SizeClass;

/**
 * A call from this instance that is in flight on an endpoint.
 *
 * @param callId identifier of the call within the group
 * @param sizeClass predicted size class
 * @param startedAt start time in milliseconds
 * @param expectedMs predicted service time in milliseconds
 */
public record RunningCall(long callId, SizeClass sizeClass, long startedAt, long expectedMs) {

    /** Returns the age as a multiple of the predicted service time. */
    public double ageRatio(long now) {
        return (double) (now - startedAt) / Math.max(1, expectedMs);
    }
}
