package org.sequoiaspindle.standins.protocol;

/** Counters of an endpoint; {@code BUSY_MS} is the total time for which calls held their slots. */
public enum EndpointStat {
    STARTED,
    COMPLETED,
    CANCELLED,
    REFUSED,
    BUSY_MS
}
