package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Stage;

/** Changes that each make a consistent object set inconsistent, with the expected problem. */
final class Mutations {

    static final Vector<Mutation> ALL =
            organisations().appendAll(groups()).appendAll(stagesPipelinesAndRules());

    private Mutations() {}

    /** A change of an object set and the problem that must be reported for it. */
    record Mutation(
            String code,
            String kind,
            String objectName,
            String field,
            UnaryOperator<ObjectSet> apply) {

        boolean isReportedIn(Vector<ValidationProblem> problems) {
            return problems.exists(
                    problem ->
                            problem.code().equals(code)
                                    && problem.kind().equals(kind)
                                    && problem.objectName().equals(objectName)
                                    && problem.field().equals(field));
        }
    }

    private static Vector<Mutation> organisations() {
        return Vector.of(
                organisation("out-of-range", "weight", new Organisation("o", hash(), 0, 1)),
                organisation("out-of-range", "weight", new Organisation("o", hash(), 1001, 1)),
                organisation("out-of-range", "maxConcurrent", new Organisation("o", hash(), 1, 0)),
                organisation(
                        "malformed-secret-hash", "secretHash", new Organisation("o", "md5:", 1, 1)),
                new Mutation(
                        "malformed-name",
                        "organisations",
                        "#1",
                        "name",
                        set ->
                                withOrganisations(
                                        set, Vector.of(new Organisation("a b", hash(), 1, 1)))),
                new Mutation(
                        "duplicate-name",
                        "organisations",
                        "organisation0",
                        "name",
                        set ->
                                withOrganisations(
                                        set,
                                        set.organisations()
                                                .filter(o -> o.name().equals("organisation0")))),
                new Mutation(
                        "malformed-secret-hash",
                        "operators",
                        "x",
                        "secretHash",
                        set ->
                                new ObjectSet(
                                        set.organisations(),
                                        set.operators().append(new Operator("x", "plain text")),
                                        set.endpointGroups(),
                                        set.endpoints(),
                                        set.stages(),
                                        set.pipelines(),
                                        set.routingRules())));
    }

    private static Vector<Mutation> groups() {
        return Vector.of(
                group("unresolved-reference", "g", new EndpointGroup("g", pool(), some("gone"))),
                group("overflow-cycle", "g", new EndpointGroup("g", pool(), some("g"))),
                new Mutation(
                        "overflow-cycle",
                        "endpointGroups",
                        "group0",
                        "overflow",
                        set ->
                                withGroups(
                                        set,
                                        set.endpointGroups()
                                                .map(g -> withOverflow(g, "group0", "group1"))
                                                .map(g -> withOverflow(g, "group1", "group0")))),
                new Mutation(
                        "group-without-endpoint",
                        "endpointGroups",
                        "empty",
                        "",
                        set ->
                                withStages(
                                        withGroups(
                                                set,
                                                set.endpointGroups()
                                                        .append(
                                                                new EndpointGroup(
                                                                        "empty",
                                                                        pool(),
                                                                        Option.none()))),
                                        set.stages()
                                                .append(
                                                        new Stage(
                                                                "s", "empty", true, true, 1, 1)))),
                endpoint("unresolved-reference", "group", "gone", "dc", "10.0.0.1:80", 1),
                endpoint("malformed-address", "address", "group0", "dc", "10.0.0.256:80", 1),
                endpoint("malformed-address", "address", "group0", "dc", "10.0.0.1:65536", 1),
                endpoint("malformed-address", "address", "group0", "dc", "localhost:80", 1),
                endpoint("malformed-name", "dataCentre", "group0", "", "10.0.0.1:80", 1),
                endpoint("out-of-range", "slots", "group0", "dc", "10.0.0.1:80", 4097));
    }

    private static Vector<Mutation> stagesPipelinesAndRules() {
        return Vector.of(
                stage("unresolved-reference", "endpointGroup", "gone", 1, 1),
                stage("out-of-range", "expectedMs", "group0", 3_600_001, 1),
                stage("out-of-range", "longOverTokens", "group0", 1, 0),
                pipeline("unresolved-reference", "stages", Vector.of("gone"), 1, Vector.empty()),
                pipeline("out-of-range", "stages", Vector.empty(), 1, Vector.empty()),
                pipeline("out-of-range", "stages", Vector.fill(17, "stage1"), 1, Vector.empty()),
                pipeline("out-of-range", "deadlineMs", Vector.of("stage1"), 0, Vector.empty()),
                pipeline(
                        "unresolved-reference",
                        "organisations",
                        Vector.of("stage1"),
                        1,
                        Vector.of("gone")),
                pipeline(
                        "several-non-idempotent-stages",
                        "stages",
                        Vector.of("stage0", "stage0"),
                        1,
                        Vector.empty()),
                rule("unresolved-reference", "organisation", 5000, r -> copy(r, some("gone"), "r")),
                rule(
                        "unresolved-reference",
                        "pipeline",
                        5000,
                        r -> new RoutingRule("r", 0, none(), some("gone"), none(), "group0")),
                rule(
                        "unresolved-reference",
                        "stage",
                        5000,
                        r -> new RoutingRule("r", 0, none(), none(), some("gone"), "group0")),
                rule("unresolved-reference", "endpointGroup", 5000, r -> ruleTo("gone")),
                rule("out-of-range", "order", 1_000_001, r -> ruleTo("group0")),
                rule("contradictory-rule", "endpointGroup", 5000, r -> copyWithOtherGroup(r)),
                rule("shadowed-rule", "order", 5000, r -> copy(r, r.organisation(), "r")),
                new Mutation(
                        "duplicate-order",
                        "routingRules",
                        "r",
                        "order",
                        set -> withRule(set, ruleTo("group0"), set.routingRules().head().order())));
    }

    private static Mutation organisation(String code, String field, Organisation addedObject) {
        return new Mutation(
                code,
                "organisations",
                addedObject.name(),
                field,
                set -> withOrganisations(set, Vector.of(addedObject)));
    }

    private static Mutation group(String code, String name, EndpointGroup addedObject) {
        return new Mutation(
                code,
                "endpointGroups",
                name,
                "overflow",
                set -> withGroups(set, set.endpointGroups().append(addedObject)));
    }

    private static Mutation endpoint(
            String code, String field, String group, String dataCentre, String address, int slots) {
        Endpoint addedObject = new Endpoint("e", group, dataCentre, address, slots, false);
        return new Mutation(
                code,
                "endpoints",
                "e",
                field,
                set ->
                        new ObjectSet(
                                set.organisations(),
                                set.operators(),
                                set.endpointGroups(),
                                set.endpoints().append(addedObject),
                                set.stages(),
                                set.pipelines(),
                                set.routingRules()));
    }

    private static Mutation stage(
            String code, String field, String group, int expectedMs, int longOverTokens) {
        Stage addedObject = new Stage("s", group, true, true, expectedMs, longOverTokens);
        return new Mutation(
                code,
                "stages",
                "s",
                field,
                set -> withStages(set, set.stages().append(addedObject)));
    }

    private static Mutation pipeline(
            String code,
            String field,
            Vector<String> stages,
            int deadlineMs,
            Vector<String> organisations) {
        Pipeline addedObject = new Pipeline("p", stages, deadlineMs, organisations);
        return new Mutation(
                code,
                "pipelines",
                "p",
                field,
                set ->
                        new ObjectSet(
                                set.organisations(),
                                set.operators(),
                                set.endpointGroups(),
                                set.endpoints(),
                                set.stages(),
                                set.pipelines().append(addedObject),
                                set.routingRules()));
    }

    /** Returns a mutation that adds a rule derived from the first rule of the set. */
    private static Mutation rule(
            String code, String field, int order, UnaryOperator<RoutingRule> derive) {
        return new Mutation(
                code,
                "routingRules",
                "r",
                field,
                set -> withRule(set, derive.apply(set.routingRules().head()), order));
    }

    private static RoutingRule ruleTo(String group) {
        return new RoutingRule("r", 0, none(), none(), none(), group);
    }

    private static RoutingRule copy(RoutingRule rule, Option<String> organisation, String name) {
        return new RoutingRule(
                name, 0, organisation, rule.pipeline(), rule.stage(), rule.endpointGroup());
    }

    private static RoutingRule copyWithOtherGroup(RoutingRule rule) {
        String other = rule.endpointGroup().equals("group0") ? "group1" : "group0";
        return new RoutingRule("r", 0, rule.organisation(), rule.pipeline(), rule.stage(), other);
    }

    private static EndpointGroup withOverflow(EndpointGroup group, String name, String overflow) {
        return group.name().equals(name)
                ? new EndpointGroup(name, group.kind(), some(overflow))
                : group;
    }

    private static ObjectSet withRule(ObjectSet set, RoutingRule rule, int order) {
        RoutingRule addedObject =
                new RoutingRule(
                        rule.name(),
                        order,
                        rule.organisation(),
                        rule.pipeline(),
                        rule.stage(),
                        rule.endpointGroup());
        return new ObjectSet(
                set.organisations(),
                set.operators(),
                set.endpointGroups(),
                set.endpoints(),
                set.stages(),
                set.pipelines(),
                set.routingRules().append(addedObject));
    }

    private static ObjectSet withOrganisations(
            ObjectSet set, Vector<Organisation> addedOrganisations) {
        return new ObjectSet(
                addedOrganisations.appendAll(set.organisations()),
                set.operators(),
                set.endpointGroups(),
                set.endpoints(),
                set.stages(),
                set.pipelines(),
                set.routingRules());
    }

    private static ObjectSet withGroups(ObjectSet set, Vector<EndpointGroup> groups) {
        return new ObjectSet(
                set.organisations(),
                set.operators(),
                groups,
                set.endpoints(),
                set.stages(),
                set.pipelines(),
                set.routingRules());
    }

    private static ObjectSet withStages(ObjectSet set, Vector<Stage> stages) {
        return new ObjectSet(
                set.organisations(),
                set.operators(),
                set.endpointGroups(),
                set.endpoints(),
                stages,
                set.pipelines(),
                set.routingRules());
    }

    private static String hash() {
        return SecretHash.of("secret", new byte[] {1});
    }

    private static EndpointGroup.Kind pool() {
        return EndpointGroup.Kind.POOL;
    }

    private static Option<String> some(String name) {
        return Option.some(name);
    }

    private static Option<String> none() {
        return Option.none();
    }
}
