package org.sequoiaspindle.core.state.forwarding;

/**
 * Load reported by a replica.
 *
 * @param running number of requests being executed
 * @param waiting number of requests queued for a slot
 * @param slots maximum number of concurrent requests
 * @param pacePercent current execution time in percent of the normal time, 100 if normal
 */
public record ReplicaLoad(int running, int waiting, int slots, int pacePercent) {}
