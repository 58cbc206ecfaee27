package org.sequoiaspindle.core.protocol.endpoint;

/**
 * Load of an endpoint, as reported with an answer.
 *
 * @param running number of calls that it is running
 * @param queued number of calls in its queue
 * @param slots number of calls that it can run concurrently
 * @param leaving whether it is shutting down and accepts no further calls
 */
public record EndpointLoadReport(int running, int queued, int slots, boolean leaving) {}
