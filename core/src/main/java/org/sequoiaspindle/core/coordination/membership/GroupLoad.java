package org.sequoiaspindle.core.coordination.membership;

/**
 * Load that one instance puts on an endpoint group of its data centre.
 *
 * @param arrivals calls per second that arrive for the group
 * @param running calls in flight
 * @param queued calls that wait for a slot
 * @param slots calls that the instance may have in flight at once
 */
public record GroupLoad(int arrivals, int running, int queued, int slots) {}
