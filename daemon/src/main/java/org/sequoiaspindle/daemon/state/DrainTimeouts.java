package org.sequoiaspindle.daemon.state;

/**
 * Time limits of the drain of an instance.
 *
 * @param gracePeriodMillis how long the instance still accepts requests after it reported that it
 *     is not ready
 * @param requestTimeoutMillis how long running requests may take to end after the grace period
 */
public record DrainTimeouts(long gracePeriodMillis, long requestTimeoutMillis) {}
