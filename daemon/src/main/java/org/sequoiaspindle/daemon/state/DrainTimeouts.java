package org.sequoiaspindle.daemon.state;

/**
 * How an instance stops.
 *
 * @param graceMillis time for which it still accepts requests after it said that it is not ready
 * @param limitMillis time after that within which running requests must end
 */
public record DrainTimeouts(long gracePeriodMillis, long requestTimeoutMillis) {}
