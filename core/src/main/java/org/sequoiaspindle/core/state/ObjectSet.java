package org.sequoiaspindle.core.state;

import io.vavr.collection.Vector;

/**
 * All objects that operators publish together, in the order in which they were written. A set may
 * be inconsistent; {@code ConfigurationChecker} tells.
 */
public record ObjectSet(
        Vector<Organisation> organisations,
        Vector<Operator> operators,
        Vector<EndpointGroup> endpointGroups,
        Vector<Endpoint> endpoints,
        Vector<Stage> stages,
        Vector<Pipeline> pipelines,
        Vector<RoutingRule> routingRules) {

    /** A set without objects. */
    public static ObjectSet empty() {
        return new ObjectSet(
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty(),
                Vector.empty());
    }
}
