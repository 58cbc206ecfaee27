package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/** Builds unions of object sets and copies of object sets with added objects. */
final class ObjectSetUnions {
    private ObjectSetUnions() {}

    static ObjectSet withOrganisations(ObjectSet set, Vector<Organisation> added) {
        return union(set, of(added, none(), none(), none(), none(), none(), none()));
    }

    static ObjectSet withOperators(ObjectSet set, Vector<Operator> added) {
        return union(set, of(none(), added, none(), none(), none(), none(), none()));
    }

    static ObjectSet withGroups(ObjectSet set, Vector<EndpointGroup> added) {
        return union(set, of(none(), none(), added, none(), none(), none(), none()));
    }

    static ObjectSet withEndpoints(ObjectSet set, Vector<Endpoint> added) {
        return union(set, of(none(), none(), none(), added, none(), none(), none()));
    }

    static ObjectSet withStages(ObjectSet set, Vector<Stage> added) {
        return union(set, of(none(), none(), none(), none(), added, none(), none()));
    }

    static ObjectSet withPipelines(ObjectSet set, Vector<Pipeline> added) {
        return union(set, of(none(), none(), none(), none(), none(), added, none()));
    }

    static ObjectSet withRoutingRules(ObjectSet set, Vector<RoutingRule> added) {
        return union(set, of(none(), none(), none(), none(), none(), none(), added));
    }

    static ObjectSet union(ObjectSet left, ObjectSet right) {
        return of(
                left.organisations().appendAll(right.organisations()),
                left.operators().appendAll(right.operators()),
                left.endpointGroups().appendAll(right.endpointGroups()),
                left.endpoints().appendAll(right.endpoints()),
                left.stages().appendAll(right.stages()),
                left.pipelines().appendAll(right.pipelines()),
                left.routingRules().appendAll(right.routingRules()));
    }

    private static ObjectSet of(
            Vector<Organisation> organisations,
            Vector<Operator> operators,
            Vector<EndpointGroup> groups,
            Vector<Endpoint> endpoints,
            Vector<Stage> stages,
            Vector<Pipeline> pipelines,
            Vector<RoutingRule> routingRules) {
        return new ObjectSet(
                organisations, operators, groups, endpoints, stages, pipelines, routingRules);
    }

    private static <T> Vector<T> none() {
        return Vector.empty();
    }
}
