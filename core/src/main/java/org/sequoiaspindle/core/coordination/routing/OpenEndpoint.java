package org.sequoiaspindle.core.coordination.routing;

import org.sequoiaspindle.core.state.Endpoint;

/**
 * An endpoint as the configuration and the membership have it.
 *
 * @param endpoint its object
 * @param leaving whether it must receive no new work
 * @param fairLimit calls that this instance may have on it at once by its share of the slots
 */
public record OpenEndpoint(Endpoint endpoint, boolean leaving, double fairLimit) {}
