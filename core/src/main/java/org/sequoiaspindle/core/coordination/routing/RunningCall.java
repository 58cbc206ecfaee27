package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.SizeClass;

/**
 * A call that an endpoint runs for this instance.
 *
 * @param ticket number of its ticket
 * @param sizeClass predicted size class
 * @param startedAt time of the start in milliseconds
 * @param expectedMs predicted service time in milliseconds
 */
public record RunningCall(long ticket, SizeClass sizeClass, long startedAt, long expectedMs) {

    /** Age as a multiple of the predicted service time. */
    public double ageRatio(long now) {
        return (double) (now - startedAt) / Math.max(1, expectedMs);
    }
}
