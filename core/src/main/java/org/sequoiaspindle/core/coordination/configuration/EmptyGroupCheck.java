package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;

/** Finds endpoint groups that are used by a stage or routing rule but have no endpoint. */
final class EmptyGroupCheck {

    private EmptyGroupCheck() {}

    static Vector<ValidationProblem> check(ObjectSet set) {
        Set<String> groupsWithEndpoints = set.endpoints().map(Endpoint::group).toSet();
        return ObjectKind.ENDPOINT_GROUPS
                .labelled(set)
                .filter(entry -> !groupsWithEndpoints.contains(entry.object().name()))
                .flatMap(
                        entry ->
                                userOf(entry.object().name(), set)
                                        .map(problemForUser(entry.label())));
    }

    private static Option<String> userOf(String group, ObjectSet set) {
        return set.stages()
                .find(stage -> stage.endpointGroup().equals(group))
                .map(stage -> describe("stage", stage))
                .orElse(
                        () ->
                                set.routingRules()
                                        .find(rule -> rule.endpointGroup().equals(group))
                                        .map(rule -> describe("routing rule", rule)));
    }

    private static String describe(String kind, NamedObject user) {
        return kind + " " + ObjectNames.quoted(user.name());
    }

    private static Function<String, ValidationProblem> problemForUser(String label) {
        return user ->
                new ValidationProblem(
                        "group-without-endpoint",
                        ObjectKind.ENDPOINT_GROUPS.name(),
                        label,
                        "",
                        "is used by "
                                + user
                                + " but has no endpoint; add an endpoint with this group, or use"
                                + " another group there");
    }
}
