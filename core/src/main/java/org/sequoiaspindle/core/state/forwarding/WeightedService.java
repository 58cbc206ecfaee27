package org.sequoiaspindle.core.state.forwarding;

/**
 * A target of a route and its share of the route's requests.
 *
 * @param weight share relative to the other targets of the route, 0 or more
 */
public record WeightedService(String service, int weight) {}
