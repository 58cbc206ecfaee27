package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.SizeClass;

/**
 * Sums over a group, kept up to date with each change so that decisions need not add them up.
 *
 * @param inFlight calls in flight
 * @param limit calls that open endpoints may have in flight
 * @param capacity the same, with slow endpoints counting for less
 * @param runningMs predicted service time of the calls in flight, in milliseconds
 * @param waitingShort waiting short calls
 * @param waitingLong waiting long calls
 * @param queuedMs predicted service time of the waiting calls, in milliseconds
 */
public record Totals(
        int inFlight,
        double limit,
        double capacity,
        long runningMs,
        int waitingShort,
        int waitingLong,
        long queuedMs) {

    static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0, 0);

    /** Number of waiting calls. */
    public int waiting() {
        return waitingShort + waitingLong;
    }

    Totals plus(EndpointState endpoint) {
        return change(endpoint, 1);
    }

    Totals minus(EndpointState endpoint) {
        return change(endpoint, -1);
    }

    Totals withRunning(long expectedMs) {
        return new Totals(
                inFlight,
                limit,
                capacity,
                runningMs + expectedMs,
                waitingShort,
                waitingLong,
                queuedMs);
    }

    Totals withWaiting(Ticket ticket, int sign) {
        boolean isShort = ticket.profile().sizeClass() == SizeClass.SHORT;
        return new Totals(
                inFlight,
                limit,
                capacity,
                runningMs,
                isShort ? waitingShort + sign : waitingShort,
                isShort ? waitingLong : waitingLong + sign,
                queuedMs + sign * ticket.expectedMs());
    }

    private Totals change(EndpointState endpoint, int sign) {
        double open = endpoint.leaving() ? 0 : endpoint.limit();
        return new Totals(
                inFlight + sign * endpoint.inFlight(),
                limit + sign * open,
                capacity + sign * open / Room.penalty(endpoint.slowness()),
                runningMs,
                waitingShort,
                waitingLong,
                queuedMs);
    }
}
