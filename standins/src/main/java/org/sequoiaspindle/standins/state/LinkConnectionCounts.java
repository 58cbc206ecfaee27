package org.sequoiaspindle.standins.state;

/**
 * Counts of the open connections of a link.
 *
 * @param open number of open connections, including silent connections
 * @param silent number of open connections on which no data is forwarded
 */
public record LinkConnectionCounts(int open, int silent) {}
