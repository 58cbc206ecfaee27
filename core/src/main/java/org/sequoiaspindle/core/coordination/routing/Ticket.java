package org.sequoiaspindle.core.coordination.routing;

import java.util.Comparator;

/**
 * A call that wants an endpoint.
 *
 * @param id number of the ticket, rising within the group
 * @param profile the call
 * @param submittedAt time of submission in milliseconds
 * @param expectedMs predicted service time in milliseconds
 */
public record Ticket(long id, CallProfile profile, long submittedAt, long expectedMs) {

    /** Least slack first; equal slack in order of submission. */
    public static final Comparator<Ticket> BY_SLACK =
            Comparator.comparingLong(Ticket::latestStart).thenComparingLong(Ticket::id);

    /** Latest start, in milliseconds of the clock, with which the deadline can still be met. */
    public long latestStart() {
        return profile.deadline().atMillis() - profile.laterMs() - expectedMs;
    }
}
