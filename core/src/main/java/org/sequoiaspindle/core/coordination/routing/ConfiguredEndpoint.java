package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.Endpoint;

/**
 * An endpoint of a group, as given by the configuration, the platform and the share of this
 * instance.
 *
 * @param endpoint the configured endpoint
 * @param leaving whether the endpoint is leaving and must receive no new calls
 * @param fairLimit concurrency limit given by this instance's share of the slots
 */
public record ConfiguredEndpoint(Endpoint endpoint, boolean leaving, double fairLimit) {}
