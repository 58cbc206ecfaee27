package org.sequoiaspindle.core.protocol.endpoint;

/**
 * Load of an endpoint, as reported with a response.
 *
 * @param running number of calls that the endpoint is running
 * @param queued number of calls in the queue of the endpoint
 * @param slots number of calls that the endpoint can run concurrently
 * @param leaving whether the endpoint is shutting down and accepts no further calls
 */
public record EndpointLoadReport(int running, int queued, int slots, boolean leaving) {}
