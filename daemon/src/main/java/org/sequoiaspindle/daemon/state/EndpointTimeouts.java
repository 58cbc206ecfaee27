package org.sequoiaspindle.daemon.state;

/**
 * How long an endpoint may stay silent.
 *
 * @param firstByteMillis from sending a call to the first byte of the answer
 * @param idleMillis between two reads of one answer
 */
public record EndpointTimeouts(long firstByteMillis, long idleMillis) {}
