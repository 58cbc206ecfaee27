package org.sequoiaspindle.core.state;

import io.vavr.collection.Vector;

/**
 * All configuration objects, in the order of the document. The objects are published together. The
 * set may be inconsistent; {@code ConfigurationChecker} validates it.
 */
public record ObjectSet(
        Vector<Organisation> organisations,
        Vector<Operator> operators,
        Vector<EndpointGroup> endpointGroups,
        Vector<Endpoint> endpoints,
        Vector<Stage> stages,
        Vector<Pipeline> pipelines,
        Vector<RoutingRule> routingRules) {

    /** Returns a set without objects. */
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
