package org.sequoiaspindle.daemon.state;

/**
 * Timeouts of calls to endpoints.
 *
 * @param firstByteMillis longest time from sending a call to the first byte of the response
 * @param idleMillis longest time without data within one response
 */
public record EndpointTimeouts(long firstByteMillis, long idleMillis) {}
