package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.vavr.Tuple2;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import org.sequoiaspindle.bench.coordination.RequestPlan;
import org.sequoiaspindle.bench.coordination.RunMetrics;
import org.sequoiaspindle.bench.protocol.Json;
import org.sequoiaspindle.bench.protocol.ObjectSetDocument;
import org.sequoiaspindle.bench.protocol.OperatorClient;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.bench.state.Sizes;

/** Entry instances of one data centre with model engines, pools and payment services. */
final class PolicyInstallation implements AutoCloseable {

    /** Group and stage of each endpoint, in the order of the chat pipeline, then payments. */
    static final LinkedHashMap<String, String> STAGE_OF_GROUP =
            LinkedHashMap.of(
                    "encoder", "encode",
                    "retriever", "retrieve",
                    "reranker", "rerank",
                    "engine", "generate",
                    "payment", "pay");

    private static final String DATA_CENTRE = "dc-1";
    private static final int POOL_SLOTS = 16;
    private static final double SIGMA = 0.25;
    private static final int LARGE_WEIGHT = 350;
    private static final int SMALL_WEIGHT = 100;
    private static final int PROCESSORS_OF_INSTANCE = 2;

    private final Bench bench;
    private final ChildProcesses processes;
    private final String platform;
    private final Map<String, String> endpoints;
    private final Vector<Bench.Instance> instances;

    private PolicyInstallation(
            Bench bench,
            ChildProcesses processes,
            String platform,
            Map<String, String> endpoints,
            Vector<Bench.Instance> instances) {
        this.bench = bench;
        this.processes = processes;
        this.platform = platform;
        this.endpoints = endpoints;
        this.instances = instances;
    }

    /** Starts all processes, publishes the set and waits until each instance serves it. */
    static PolicyInstallation start(Bench bench, Sizes sizes, String policy, Path directory) {
        ChildProcesses processes = new ChildProcesses(directory);
        try {
            String platform = processes.platform();
            Map<String, String> endpoints = processes.fleet(fleet(sizes));
            Vector<Bench.Instance> instances =
                    bench.instances(
                            processes,
                            Vector.fill(sizes.instances(), () -> DATA_CENTRE),
                            policy,
                            platform,
                            PROCESSORS_OF_INSTANCE);
            bench.publishFirst(instances, objects(sizes, endpoints));
            return new PolicyInstallation(bench, processes, platform, endpoints, instances);
        } catch (RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    String platform() {
        return platform;
    }

    Vector<Bench.Instance> instances() {
        return instances;
    }

    /** Addresses of the endpoints of a group. */
    Vector<String> endpoints(String group) {
        return endpoints
                .filter(endpoint -> endpoint._1.startsWith(group + "-"))
                .values()
                .toVector();
    }

    /** Counts of the endpoints of each group, summed over the group. */
    Map<String, Map<String, Long>> stats() {
        return STAGE_OF_GROUP.map(
                (group, stage) ->
                        new Tuple2<>(
                                stage,
                                endpoints(group)
                                        .map(address -> report(address, "/admin/stats"))
                                        .map(OperatorClient::counts)
                                        .fold(
                                                LinkedHashMap.empty(),
                                                (sum, next) -> sum.merge(next, Long::sum))));
    }

    /** Executions of payments by input, summed over the services. */
    Map<String, Long> paymentExecutions() {
        return endpoints("payment")
                .map(address -> report(address, "/admin/executions").path("byInput"))
                .map(OperatorClient::counts)
                .fold(LinkedHashMap.empty(), (sum, next) -> sum.merge(next, Long::sum));
    }

    /** CPU time of the stand-ins and of each instance that still runs, in milliseconds. */
    Map<String, Double> cpuMs() {
        return instances
                .filter(instance -> instance.process().isAlive())
                .toMap(
                        Bench.Instance::name,
                        instance -> ProcessStatistics.cpuMs(instance.process().pid()))
                .put(RunMetrics.STANDINS, processes.standinCpuMs());
    }

    @Override
    public void close() {
        processes.close();
    }

    private JsonNode report(String address, String path) {
        return bench.operator().report(address, path).join();
    }

    private static String fleet(Sizes sizes) {
        ArrayNode fleet = Json.array();
        for (String name : names("engine", sizes.engines())) {
            fleet.addObject()
                    .put("role", "engine")
                    .put("name", name)
                    .put("slots", sizes.slots())
                    .put("tokenMs", sizes.tokenMs())
                    .put("tokenGrowth", Sizes.TOKEN_GROWTH)
                    .put("seed", fleet.size());
        }
        Vector<String> pools = Vector.of("encoder", "retriever", "reranker");
        for (String name : pools.flatMap(pool -> names(pool, sizes.poolReplicas()))) {
            addService(fleet, name, sizes.poolMs());
        }
        names("payment", Sizes.PAYMENT_SERVICES)
                .forEach(name -> addService(fleet, name, sizes.paymentMs()));
        return fleet.toString();
    }

    private static void addService(ArrayNode fleet, String name, double serviceMs) {
        fleet.addObject()
                .put("role", "service")
                .put("name", name)
                .put("slots", POOL_SLOTS)
                .put("serviceMs", serviceMs)
                .put("sigma", SIGMA)
                .put("seed", fleet.size());
    }

    private static Vector<String> names(String group, int count) {
        return Vector.rangeClosed(1, count).map(index -> group + "-" + index);
    }

    private static String objects(Sizes sizes, Map<String, String> endpoints) {
        ObjectSetDocument set = new ObjectSetDocument();
        RequestPlan.ORGANISATIONS.forEach(
                name ->
                        set.organisation(
                                name, name.startsWith("large") ? LARGE_WEIGHT : SMALL_WEIGHT));
        set.group("engine", "engine").group("payment", "service");
        Vector.of("encoder", "retriever", "reranker").forEach(name -> set.group(name, "pool"));
        endpoints.forEach(
                (name, address) -> {
                    String group = name.substring(0, name.indexOf('-'));
                    int slots = group.equals("engine") ? sizes.slots() : POOL_SLOTS;
                    set.endpoint(name, group, DATA_CENTRE, address, slots);
                });
        long poolMs = Math.max(1, Math.round(sizes.poolMs()));
        long generateMs = Math.max(1, Math.round(sizes.chatTokens() * sizes.tokenMs()));
        set.stage("encode", "encoder", true, false, poolMs)
                .stage("retrieve", "retriever", true, false, poolMs)
                .stage("rerank", "reranker", true, false, poolMs)
                .stage("generate", "engine", true, true, generateMs)
                .stage("pay", "payment", false, false, Math.round(sizes.paymentMs()));
        for (RequestClass kind : Vector.of(RequestClass.CHAT, RequestClass.REPORT)) {
            set.pipeline(
                    kind.pipeline(), kind.deadlineMs(), "encode", "retrieve", "rerank", "generate");
        }
        return set.pipeline(
                        RequestClass.PAYMENT.pipeline(), RequestClass.PAYMENT.deadlineMs(), "pay")
                .text();
    }
}
