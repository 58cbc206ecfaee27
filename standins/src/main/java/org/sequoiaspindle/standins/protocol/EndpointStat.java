package org.sequoiaspindle.standins.protocol;

/** Counted events of an endpoint; {@code BUSY_MS} sums the time that calls held their slots. */
public enum EndpointStat {
    STARTED,
    COMPLETED,
    CANCELLED,
    REFUSED,
    BUSY_MS
}
