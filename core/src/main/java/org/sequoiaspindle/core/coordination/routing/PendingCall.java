package org.sequoiaspindle.core.coordination.routing;

import java.util.Comparator;

/**
 * A call that waits for an endpoint.
 *
 * @param id identifier of the call, increasing within the group
 * @param profile properties of the call
 * @param submittedAt time of submission in milliseconds
 * @param expectedMs predicted service time in milliseconds
 */
public record PendingCall(long id, CallProfile profile, long submittedAt, long expectedMs) {

    /** Least slack first; calls with equal slack in order of submission. */
    public static final Comparator<PendingCall> BY_SLACK =
            Comparator.comparingLong(PendingCall::latestStart).thenComparingLong(PendingCall::id);

    /** Returns the latest start time, in milliseconds, with which the deadline can still be met. */
    public long latestStart() {
        return profile.deadline().atMillis() - profile.laterStagesMs() - expectedMs;
    }
}
