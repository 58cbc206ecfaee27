package org.sequoiaspindle.standins.state;

/** Number of open connections of a link, and of those that are silent. */
public record LinkConnectionCounts(int open, int silent) {}
