package org.sequoiaspindle.core.coordination.membership;

/**
 * Load of one instance on an endpoint group of its data centre.
 *
 * @param arrivals calls for the group that arrive at the instance per second
 * @param running calls in flight
 * @param queued calls that are pending
 * @param slots number of calls that the instance may have in flight
 */
public record GroupLoad(int arrivals, int running, int queued, int slots) {}
