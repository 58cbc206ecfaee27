package org.sequoiaspindle.bench.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;

/** Builds the JSON document of an object set. Not thread-safe. */
public final class ObjectSetBuilder {

    private static final int LONG_OVER_TOKENS = 200;
    private static final int MAX_CONCURRENT = 10_000;

    private final ObjectNode root = BenchJson.object();

    /** Creates a builder of an object set that contains only the operator. */
    public ObjectSetBuilder() {
        for (String kind :
                Vector.of(
                        "organisations",
                        "operators",
                        "endpointGroups",
                        "endpoints",
                        "stages",
                        "pipelines",
                        "routingRules")) {
            root.putArray(kind);
        }
        array("operators")
                .addObject()
                .put("name", Credentials.OPERATOR)
                .put("secretHash", Credentials.secretHash(Credentials.OPERATOR));
    }

    public ObjectSetBuilder addOrganisation(String name, int weight) {
        array("organisations")
                .addObject()
                .put("name", name)
                .put("secretHash", Credentials.secretHash(name))
                .put("weight", weight)
                .put("maxConcurrent", MAX_CONCURRENT);
        return this;
    }

    public ObjectSetBuilder addGroup(String name, String kind) {
        array("endpointGroups").addObject().put("name", name).put("kind", kind);
        return this;
    }

    public ObjectSetBuilder addEndpoint(
            String name, String group, String dataCentre, String address, int slots) {
        array("endpoints")
                .addObject()
                .put("name", name)
                .put("group", group)
                .put("dataCentre", dataCentre)
                .put("address", address)
                .put("slots", slots)
                .put("leaving", false);
        return this;
    }

    public ObjectSetBuilder addStage(
            String name, String group, boolean idempotent, boolean streams, long expectedMs) {
        array("stages")
                .addObject()
                .put("name", name)
                .put("endpointGroup", group)
                .put("idempotent", idempotent)
                .put("streams", streams)
                .put("expectedMs", expectedMs)
                .put("longOverTokens", LONG_OVER_TOKENS);
        return this;
    }

    public ObjectSetBuilder addPipeline(String name, long deadlineMs, String... stages) {
        ObjectNode pipeline =
                array("pipelines").addObject().put("name", name).put("deadlineMs", deadlineMs);
        ArrayNode names = pipeline.putArray("stages");
        Vector.of(stages).forEach(names::add);
        pipeline.putArray("organisations");
        return this;
    }

    /** Sets the number of slots of the endpoint at an index in the order of addition. */
    public ObjectSetBuilder setSlots(int index, int slots) {
        ((ObjectNode) array("endpoints").get(index)).put("slots", slots);
        return this;
    }

    public String toJson() {
        return root.toString();
    }

    private ArrayNode array(String kind) {
        return (ArrayNode) root.get(kind);
    }
}
