package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import org.sequoiaspindle.bench.coordination.RequestGenerator;
import org.sequoiaspindle.bench.coordination.RunMetrics;
import org.sequoiaspindle.bench.protocol.BenchJson;
import org.sequoiaspindle.bench.protocol.ObjectSetBuilder;
import org.sequoiaspindle.bench.protocol.OperatorClient;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.Sizes;

/**
 * Installation of entry instances in one data centre, with model engines, pools and payment
 * services as endpoints.
 */
final class PolicyInstallation implements AutoCloseable {

    /**
     * Stages by endpoint group: the stages of the chat pipeline in order, then the payment stage.
     */
    static final LinkedHashMap<String, String> STAGES_BY_GROUP =
            LinkedHashMap.of(
                    "encoder", "encode",
                    "retriever", "retrieve",
                    "reranker", "rerank",
                    "engine", "generate",
                    "payment", "pay");

    private static final String DATA_CENTRE = "dc-1";
    private static final int POOL_SLOTS = 16;
    private static final double SERVICE_TIME_SIGMA = 0.25;
    private static final int LARGE_ORGANISATION_WEIGHT = 350;
    private static final int SMALL_ORGANISATION_WEIGHT = 100;
    private static final int PROCESSORS_PER_INSTANCE = 2;

    private final BenchContext bench;
    private final ChildProcesses processes;
    private final String platform;
    private final Map<String, String> endpoints;
    private final Vector<BenchContext.EntryInstance> instances;

    private PolicyInstallation(
            BenchContext bench,
            ChildProcesses processes,
            String platform,
            Map<String, String> endpoints,
            Vector<BenchContext.EntryInstance> instances) {
        this.bench = bench;
        this.processes = processes;
        this.platform = platform;
        this.endpoints = endpoints;
        this.instances = instances;
    }

    /** Starts all processes, publishes the object set and waits until it is active. */
    static PolicyInstallation start(
            BenchContext bench, Sizes sizes, String policy, Path directory) {
        ChildProcesses processes = new ChildProcesses(directory);
        try {
            String platform = processes.startPlatform();
            Map<String, String> endpoints = processes.startFleet(fleetMembers(sizes));
            Vector<BenchContext.EntryInstance> instances =
                    bench.startInstances(
                            processes,
                            Vector.fill(sizes.instances(), () -> DATA_CENTRE),
                            policy,
                            platform,
                            PROCESSORS_PER_INSTANCE);
            bench.publishInitialSet(instances, buildObjectSet(sizes, endpoints));
            return new PolicyInstallation(bench, processes, platform, endpoints, instances);
        } catch (RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    String platform() {
        return platform;
    }

    Vector<BenchContext.EntryInstance> instances() {
        return instances;
    }

    /** Returns the addresses of the endpoints of a group. */
    Vector<String> endpoints(String group) {
        return endpoints
                .filter(endpoint -> endpoint._1.startsWith(group + "-"))
                .values()
                .toVector();
    }

    /** Reads the counters of the endpoints by stage, summed over the endpoints of the stage. */
    Map<String, Map<String, Long>> readEndpointCounters() {
        return STAGES_BY_GROUP.map(
                (group, stage) ->
                        new Tuple2<>(
                                stage,
                                endpoints(group)
                                        .map(address -> readAdmin(address, "/admin/stats"))
                                        .map(OperatorClient::integerFields)
                                        .fold(
                                                LinkedHashMap.empty(),
                                                (sum, next) -> sum.merge(next, Long::sum))));
    }

    /** Reads the number of payment executions by input, summed over the payment services. */
    Map<String, Long> readPaymentExecutions() {
        return endpoints("payment")
                .map(address -> readAdmin(address, "/admin/executions").path("byInput"))
                .map(OperatorClient::integerFields)
                .fold(LinkedHashMap.empty(), (sum, next) -> sum.merge(next, Long::sum));
    }

    /** Returns the CPU time of the stand-ins and of each running instance, in milliseconds. */
    Map<String, Double> cpuMs() {
        return instances
                .filter(instance -> instance.process().isAlive())
                .toMap(
                        BenchContext.EntryInstance::name,
                        instance -> ProcessStatistics.cpuMs(instance.process().pid()))
                .put(RunMetrics.STANDINS, processes.standinCpuMs());
    }

    @Override
    public void close() {
        processes.close();
    }

    private JsonNode readAdmin(String address, String path) {
        return bench.operator().readAdmin(address, path).join();
    }

    private static String fleetMembers(Sizes sizes) {
        ArrayNode fleet = BenchJson.array();
        for (String name : endpointNames("engine", sizes.engines())) {
            fleet.addObject()
                    .put("role", "engine")
                    .put("name", name)
                    .put("slots", sizes.slots())
                    .put("tokenMs", sizes.tokenMs())
                    .put("tokenGrowth", Sizes.TOKEN_GROWTH)
                    .put("seed", fleet.size());
        }
        Vector<String> pools = Vector.of("encoder", "retriever", "reranker");
        for (String name : pools.flatMap(pool -> endpointNames(pool, sizes.poolReplicas()))) {
            addService(fleet, name, sizes.poolMs());
        }
        endpointNames("payment", Sizes.PAYMENT_SERVICES)
                .forEach(name -> addService(fleet, name, sizes.paymentMs()));
        return fleet.toString();
    }

    private static void addService(ArrayNode fleet, String name, double serviceMs) {
        fleet.addObject()
                .put("role", "service")
                .put("name", name)
                .put("slots", POOL_SLOTS)
                .put("serviceMs", serviceMs)
                .put("sigma", SERVICE_TIME_SIGMA)
                .put("seed", fleet.size());
    }

    private static Vector<String> endpointNames(String group, int count) {
        return Vector.rangeClosed(1, count).map(index -> group + "-" + index);
    }

    private static String buildObjectSet(Sizes sizes, Map<String, String> endpoints) {
        ObjectSetBuilder builder = new ObjectSetBuilder();
        RequestGenerator.ORGANISATIONS.forEach(
                name ->
                        builder.addOrganisation(
                                name,
                                name.startsWith("large")
                                        ? LARGE_ORGANISATION_WEIGHT
                                        : SMALL_ORGANISATION_WEIGHT));
        builder.addGroup("engine", "engine").addGroup("payment", "service");
        Vector.of("encoder", "retriever", "reranker")
                .forEach(name -> builder.addGroup(name, "pool"));
        endpoints.forEach(
                (name, address) -> {
                    String group = name.substring(0, name.indexOf('-'));
                    int slots = group.equals("engine") ? sizes.slots() : POOL_SLOTS;
                    builder.addEndpoint(name, group, DATA_CENTRE, address, slots);
                });
        long poolMs = Math.max(1, Math.round(sizes.poolMs()));
        long generateMs = Math.max(1, Math.round(sizes.meanChatTokens() * sizes.tokenMs()));
        builder.addStage("encode", "encoder", true, false, poolMs)
                .addStage("retrieve", "retriever", true, false, poolMs)
                .addStage("rerank", "reranker", true, false, poolMs)
                .addStage("generate", "engine", true, true, generateMs)
                .addStage("pay", "payment", false, false, Math.round(sizes.paymentMs()));
        for (RequestClass requestClass : Vector.of(RequestClass.CHAT, RequestClass.REPORT)) {
            builder.addPipeline(
                    requestClass.pipeline(),
                    requestClass.deadlineMs(),
                    "encode",
                    "retrieve",
                    "rerank",
                    "generate");
        }
        return builder.addPipeline(
                        RequestClass.PAYMENT.pipeline(), RequestClass.PAYMENT.deadlineMs(), "pay")
                .toJson();
    }
}
