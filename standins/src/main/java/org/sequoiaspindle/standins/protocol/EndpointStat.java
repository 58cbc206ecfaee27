package org.sequoiaspindle.standins.protocol;

/**
 * Counters of an endpoint; {@code BUSY_MS} is the total time during which calls occupied slots, in
 * milliseconds.
 */
public enum EndpointStat {
    STARTED,
    COMPLETED,
    CANCELLED,
    REFUSED,
    BUSY_MS
}
