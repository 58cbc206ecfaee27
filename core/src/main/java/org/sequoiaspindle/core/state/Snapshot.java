package org.sequoiaspindle.core.state;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * A validated object set of one generation, with indexes for lookups. Immutable; a request uses the
 * same snapshot from start to end.
 */
public final class Snapshot {

    /** Generation of the empty snapshot that is used until a configuration has been read. */
    public static final long NO_GENERATION = 0;

    private final long generation;
    private final ObjectSet objects;
    private final Map<String, Organisation> organisations;
    private final Map<String, Operator> operators;
    private final Map<String, EndpointGroup> endpointGroups;
    private final Map<String, Vector<Endpoint>> endpointsByGroup;
    private final Map<String, Stage> stages;
    private final Map<String, Pipeline> pipelines;
    private final Vector<RoutingRule> sortedRules;

    private Snapshot(long generation, ObjectSet objects) {
        this.generation = generation;
        this.objects = objects;
        this.organisations = index(objects.organisations());
        this.operators = index(objects.operators());
        this.endpointGroups = index(objects.endpointGroups());
        this.endpointsByGroup = objects.endpoints().groupBy(Endpoint::group);
        this.stages = index(objects.stages());
        this.pipelines = index(objects.pipelines());
        this.sortedRules = objects.routingRules().sortBy(RoutingRule::order);
    }

    /** Returns the snapshot of a validated object set. */
    public static Snapshot of(long generation, ObjectSet validated) {
        return new Snapshot(generation, validated);
    }

    /** Returns the empty snapshot that is used until a configuration has been read. */
    public static Snapshot none() {
        return new Snapshot(NO_GENERATION, ObjectSet.empty());
    }

    public long generation() {
        return generation;
    }

    public ObjectSet objects() {
        return objects;
    }

    /**
     * Returns whether this snapshot is the empty snapshot, so that no configuration has been read
     * yet.
     */
    public boolean isInitial() {
        return generation == NO_GENERATION;
    }

    public Option<Organisation> organisation(String name) {
        return organisations.get(name);
    }

    public Option<Operator> operator(String name) {
        return operators.get(name);
    }

    public Option<EndpointGroup> endpointGroup(String name) {
        return endpointGroups.get(name);
    }

    public Option<Stage> stage(String name) {
        return stages.get(name);
    }

    public Option<Pipeline> pipeline(String name) {
        return pipelines.get(name);
    }

    /**
     * Returns the endpoints of a group in a data centre, or an empty vector for an unknown group.
     */
    public Vector<Endpoint> endpoints(String group, String dataCentre) {
        return endpointsByGroup
                .getOrElse(group, Vector.empty())
                .filter(endpoint -> endpoint.dataCentre().equals(dataCentre));
    }

    /** Returns the stages of a pipeline in order. */
    public Vector<Stage> stagesOf(Pipeline pipeline) {
        return pipeline.stages().flatMap(this::stage);
    }

    /**
     * Returns the group that executes a stage for an organisation: the group of the first matching
     * routing rule, or else the group of the stage.
     */
    public String groupFor(String organisation, String pipeline, Stage stage) {
        return sortedRules
                .find(rule -> rule.matches(organisation, pipeline, stage.name()))
                .map(RoutingRule::endpointGroup)
                .getOrElse(stage.endpointGroup());
    }

    /**
     * Returns the groups that receive the calls of a group without a usable endpoint, in order of
     * preference.
     */
    public Vector<String> overflowGroupsOf(String group) {
        Vector<String> chain = Vector.empty();
        Option<String> nextGroup = endpointGroup(group).flatMap(EndpointGroup::overflow);
        while (nextGroup.isDefined() && !chain.contains(nextGroup.get())) {
            chain = chain.append(nextGroup.get());
            nextGroup = endpointGroup(nextGroup.get()).flatMap(EndpointGroup::overflow);
        }
        return chain;
    }

    private static <T extends NamedObject> Map<String, T> index(Seq<T> objects) {
        return objects.foldLeft(
                HashMap.<String, T>empty(), (map, object) -> map.put(object.name(), object));
    }
}
