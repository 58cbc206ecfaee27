package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import java.util.function.Function;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/** Finds references to objects that do not exist in the set. */
final class ReferenceCheck {

    private static final Vector<Reference<?>> REFERENCES =
            Vector.of(
                    new Reference<>(
                            ObjectKind.ENDPOINT_GROUPS,
                            "overflow",
                            (EndpointGroup group) -> group.overflow().toVector(),
                            ObjectKind.ENDPOINT_GROUPS),
                    new Reference<>(
                            ObjectKind.ENDPOINTS,
                            "group",
                            (Endpoint endpoint) -> Vector.of(endpoint.group()),
                            ObjectKind.ENDPOINT_GROUPS),
                    new Reference<>(
                            ObjectKind.STAGES,
                            "endpointGroup",
                            (Stage stage) -> Vector.of(stage.endpointGroup()),
                            ObjectKind.ENDPOINT_GROUPS),
                    new Reference<>(
                            ObjectKind.PIPELINES, "stages", Pipeline::stages, ObjectKind.STAGES),
                    new Reference<>(
                            ObjectKind.PIPELINES,
                            "organisations",
                            Pipeline::organisations,
                            ObjectKind.ORGANISATIONS),
                    new Reference<>(
                            ObjectKind.ROUTING_RULES,
                            "organisation",
                            (RoutingRule rule) -> rule.organisation().toVector(),
                            ObjectKind.ORGANISATIONS),
                    new Reference<>(
                            ObjectKind.ROUTING_RULES,
                            "pipeline",
                            (RoutingRule rule) -> rule.pipeline().toVector(),
                            ObjectKind.PIPELINES),
                    new Reference<>(
                            ObjectKind.ROUTING_RULES,
                            "stage",
                            (RoutingRule rule) -> rule.stage().toVector(),
                            ObjectKind.STAGES),
                    new Reference<>(
                            ObjectKind.ROUTING_RULES,
                            "endpointGroup",
                            (RoutingRule rule) -> Vector.of(rule.endpointGroup()),
                            ObjectKind.ENDPOINT_GROUPS));

    private ReferenceCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        return REFERENCES.flatMap(reference -> reference.problems(set));
    }

    private record Reference<T extends NamedObject>(
            ObjectKind<T> from, String field, Function<T, Vector<String>> names, ObjectKind<?> to) {

        Vector<ValidationProblem> problems(ObjectSet set) {
            Set<String> existingNames = to.names(set);
            return from.labelled(set)
                    .flatMap(
                            entry ->
                                    unresolvedNames(names.apply(entry.object()), existingNames)
                                            .map(name -> problem(entry.label(), name)));
        }

        private Seq<String> unresolvedNames(
                Vector<String> referencedNames, Set<String> existingNames) {
            return referencedNames.filter(name -> !existingNames.contains(name)).distinct();
        }

        private ValidationProblem problem(String label, String name) {
            String message =
                    "%s is not among the %s; add it or correct the reference"
                            .formatted(ObjectNames.quoted(name), to.name());
            return new ValidationProblem(
                    "unresolved-reference", from.name(), label, field, message);
        }
    }
}
