package org.sequoiaspindle.daemon.failure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.standins.transport.ServiceServer;

/**
 * Object sets of the tests, with the pipelines {@code payment} (one stage that is not idempotent),
 * {@code lookup} (one idempotent stage) and {@code chat} (three supporting stages and an engine).
 */
final class TestObjectSets {

    static final String DATA_CENTRE = "north";
    static final List<String> ORGANISATIONS = List.of("alpha", "beta", "gamma");
    static final List<String> OPERATORS = List.of("olga", "otto");

    /** Deadline of the pipelines, longer than the deadline of any request of the tests. */
    private static final int MAX_DEADLINE_MS = 30_000;

    private static final String UNUSED_ADDRESS = "127.0.0.1:1";
    private static final Map<String, String> GROUP_KINDS =
            Map.of(
                    "fees",
                    "service",
                    "accounts",
                    "service",
                    "support",
                    "pool",
                    "engines",
                    "engine");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TestObjectSets() {}

    static String secret(String name) {
        return "secret-of-" + name;
    }

    static String secretHash(String name) {
        return SecretHash.of(secret(name), name.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the input of the engine for a chat request, after the three supporting stages. */
    static String engineInput(String input) {
        return Stream.of("encode", "retrieve", "rerank")
                .reduce(
                        input,
                        (text, stage) -> ServiceServer.expectedOutput(stage, text),
                        (left, right) -> right);
    }

    /**
     * Creates an object set.
     *
     * @param addresses endpoint addresses by group: fees, accounts, support, engines
     */
    static String of(Map<String, List<String>> addresses) {
        ObjectNode set = MAPPER.createObjectNode();
        ArrayNode organisations = set.putArray("organisations");
        ORGANISATIONS.forEach(
                name ->
                        organisations
                                .addObject()
                                .put("name", name)
                                .put("secretHash", secretHash(name))
                                .put("weight", 100)
                                .put("maxConcurrent", 1000));
        ArrayNode operators = set.putArray("operators");
        OPERATORS.forEach(
                name ->
                        operators
                                .addObject()
                                .put("name", name)
                                .put("secretHash", secretHash(name)));
        ArrayNode groups = set.putArray("endpointGroups");
        ArrayNode endpoints = set.putArray("endpoints");
        GROUP_KINDS.forEach(
                (group, kind) -> {
                    groups.addObject().put("name", group).put("kind", kind);
                    addEndpoints(
                            endpoints,
                            group,
                            addresses.getOrDefault(group, List.of(UNUSED_ADDRESS)));
                });
        addStages(set.putArray("stages"));
        addPipelines(set.putArray("pipelines"));
        set.putArray("routingRules");
        return set.toPrettyString();
    }

    private static void addEndpoints(ArrayNode endpoints, String group, List<String> addresses) {
        for (int index = 0; index < addresses.size(); index++) {
            endpoints
                    .addObject()
                    .put("name", group + "-" + (index + 1))
                    .put("group", group)
                    .put("dataCentre", DATA_CENTRE)
                    .put("address", addresses.get(index))
                    .put("slots", 64)
                    .put("leaving", false);
        }
    }

    private static void addStages(ArrayNode stages) {
        addStage(stages, "pay", "fees", false, false);
        addStage(stages, "find", "accounts", true, false);
        addStage(stages, "encode", "support", true, false);
        addStage(stages, "retrieve", "support", true, false);
        addStage(stages, "rerank", "support", true, false);
        addStage(stages, "generate", "engines", true, true);
    }

    private static void addStage(
            ArrayNode stages, String name, String group, boolean idempotent, boolean streams) {
        stages.addObject()
                .put("name", name)
                .put("endpointGroup", group)
                .put("idempotent", idempotent)
                .put("streams", streams)
                .put("expectedMs", 50)
                .put("longOverTokens", 4096);
    }

    private static void addPipelines(ArrayNode pipelines) {
        addPipeline(pipelines, "payment", "pay");
        addPipeline(pipelines, "lookup", "find");
        addPipeline(pipelines, "chat", "encode", "retrieve", "rerank", "generate");
    }

    private static void addPipeline(ArrayNode pipelines, String name, String... stages) {
        ObjectNode pipeline = pipelines.addObject().put("name", name);
        ArrayNode names = pipeline.putArray("stages");
        List.of(stages).forEach(names::add);
        pipeline.put("deadlineMs", MAX_DEADLINE_MS).putArray("organisations");
    }
}
