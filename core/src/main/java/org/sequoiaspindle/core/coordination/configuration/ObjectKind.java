package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.function.Function;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.EndpointGroup;
import org.sequoiaspindle.core.state.NamedObject;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.Pipeline;
import org.sequoiaspindle.core.state.RoutingRule;
import org.sequoiaspindle.core.state.Stage;

/**
 * A kind of object in an object set: its name in the document, its objects and their fields.
 *
 * @param name name of the array in the document, such as {@code pipelines}
 * @param objects returns the objects of this kind in a set
 * @param fields fields of an object, in the order of the document
 */
public record ObjectKind<T extends NamedObject>(
        String name, Function<ObjectSet, Vector<T>> objects, Vector<Field<T>> fields) {

    public static final ObjectKind<Organisation> ORGANISATIONS =
            new ObjectKind<>(
                    "organisations",
                    ObjectSet::organisations,
                    Vector.of(
                            new Field<>("name", Organisation::name),
                            new Field<>("secretHash", Organisation::secretHash),
                            new Field<>("weight", Organisation::weight),
                            new Field<>("maxConcurrent", Organisation::maxConcurrent)));

    public static final ObjectKind<Operator> OPERATORS =
            new ObjectKind<>(
                    "operators",
                    ObjectSet::operators,
                    Vector.of(
                            new Field<>("name", Operator::name),
                            new Field<>("secretHash", Operator::secretHash)));

    public static final ObjectKind<EndpointGroup> ENDPOINT_GROUPS =
            new ObjectKind<>(
                    "endpointGroups",
                    ObjectSet::endpointGroups,
                    Vector.of(
                            new Field<>("name", EndpointGroup::name),
                            new Field<>("kind", EndpointGroup::kind),
                            new Field<>("overflow", EndpointGroup::overflow)));

    public static final ObjectKind<Endpoint> ENDPOINTS =
            new ObjectKind<>(
                    "endpoints",
                    ObjectSet::endpoints,
                    Vector.of(
                            new Field<>("name", Endpoint::name),
                            new Field<>("group", Endpoint::group),
                            new Field<>("dataCentre", Endpoint::dataCentre),
                            new Field<>("address", Endpoint::address),
                            new Field<>("slots", Endpoint::slots),
                            new Field<>("leaving", Endpoint::leaving)));

    public static final ObjectKind<Stage> STAGES =
            new ObjectKind<>(
                    "stages",
                    ObjectSet::stages,
                    Vector.of(
                            new Field<>("name", Stage::name),
                            new Field<>("endpointGroup", Stage::endpointGroup),
                            new Field<>("idempotent", Stage::idempotent),
                            new Field<>("streams", Stage::streams),
                            new Field<>("expectedMs", Stage::expectedMs),
                            new Field<>("longOverTokens", Stage::longOverTokens)));

    public static final ObjectKind<Pipeline> PIPELINES =
            new ObjectKind<>(
                    "pipelines",
                    ObjectSet::pipelines,
                    Vector.of(
                            new Field<>("name", Pipeline::name),
                            new Field<>("stages", Pipeline::stages),
                            new Field<>("deadlineMs", Pipeline::deadlineMs),
                            new Field<>("organisations", Pipeline::organisations)));

    public static final ObjectKind<RoutingRule> ROUTING_RULES =
            new ObjectKind<>(
                    "routingRules",
                    ObjectSet::routingRules,
                    Vector.of(
                            new Field<>("name", RoutingRule::name),
                            new Field<>("order", RoutingRule::order),
                            new Field<>("organisation", RoutingRule::organisation),
                            new Field<>("pipeline", RoutingRule::pipeline),
                            new Field<>("stage", RoutingRule::stage),
                            new Field<>("endpointGroup", RoutingRule::endpointGroup)));

    /** All kinds, in the order of the document. */
    public static final Vector<ObjectKind<?>> ALL =
            Vector.of(
                    ORGANISATIONS,
                    OPERATORS,
                    ENDPOINT_GROUPS,
                    ENDPOINTS,
                    STAGES,
                    PIPELINES,
                    ROUTING_RULES);

    /** Returns the kind with the name, or none. */
    public static Option<ObjectKind<?>> find(String name) {
        return ALL.find(kind -> kind.name().equals(name));
    }

    /** Returns the objects of the kind in canonical order, which is by name. */
    public Vector<T> sorted(ObjectSet set) {
        return objects.apply(set).sortBy(NamedObject::name);
    }

    /**
     * Returns the objects of the kind, each with the label that identifies the object in problems.
     */
    Vector<Labelled<T>> labelled(ObjectSet set) {
        return objects.apply(set)
                .zipWithIndex()
                .map(
                        pair ->
                                new Labelled<>(
                                        ObjectNames.labelOf(pair._1().name(), pair._2() + 1),
                                        pair._1()));
    }

    /** Returns the names of the objects of the kind. */
    Set<String> names(ObjectSet set) {
        return objects.apply(set).map(NamedObject::name).toSet();
    }

    /**
     * A field of an object.
     *
     * @param name name in the document
     * @param value returns the value as a string, number, boolean, enum constant, option or vector
     *     of strings
     */
    public record Field<T>(String name, Function<T, Object> value) {}

    /** An object with the label that identifies the object in problems. */
    record Labelled<T>(String label, T object) {}
}
