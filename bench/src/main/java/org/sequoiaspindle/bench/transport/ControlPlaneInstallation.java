package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.bench.protocol.BenchJson;
import org.sequoiaspindle.bench.protocol.ObjectSetBuilder;
import org.sequoiaspindle.bench.protocol.OperatorClient;

/**
 * Installation of entry instances without load. The endpoints in the object set do not exist. Not
 * thread-safe.
 */
final class ControlPlaneInstallation implements AutoCloseable {

    private static final String POLICY = "chosen";
    private static final int PROCESSORS_PER_INSTANCE = 2;
    private static final int INITIAL_SLOTS = 8;
    private static final int FIRST_ENDPOINT_PORT = 10_000;
    private static final int ENDPOINT_PORTS = 50_000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final double NANOS_PER_MS = 1e6;
    private static final String CONTROL_BYTES_METRIC = "sequoiaspindle_control_bytes_total";

    private final BenchContext bench;
    private final ChildProcesses processes;
    private final String platform;
    private final Vector<BenchContext.EntryInstance> instances;
    private final ObjectSetBuilder objectSetBuilder;
    private final int endpointCount;
    private long generation;
    private int publishedChanges;

    private ControlPlaneInstallation(
            BenchContext bench,
            ChildProcesses processes,
            Sizes sizes,
            String platform,
            Vector<BenchContext.EntryInstance> instances) {
        this.bench = bench;
        this.processes = processes;
        this.platform = platform;
        this.instances = instances;
        objectSetBuilder = createObjectSetBuilder(sizes);
        endpointCount = sizes.endpoints;
    }

    /**
     * Sizes of an installation. Output files contain the result of {@link #toString}, so the names
     * of the record and the components must not change.
     *
     * @param endpoints number of endpoints, spread evenly over the data centres
     */
    record Sizes(int instances, int dataCentres, int endpoints, int organisations) {}

    /**
     * Duration of one configuration change, in milliseconds.
     *
     * @param publicationMs from sending the publication to the confirmation
     * @param acceptedToLastInstanceMs from the confirmation until the change was active on all
     *     instances; negative if all instances reported the change before the confirmation arrived
     */
    record ChangeTiming(double publicationMs, double acceptedToLastInstanceMs) {}

    /** Starts the instances, publishes the object set and waits until it is active. */
    static ControlPlaneInstallation start(BenchContext bench, Sizes sizes, Path directory) {
        ChildProcesses processes = new ChildProcesses(directory);
        try {
            String platform = processes.startPlatform();
            Vector<BenchContext.EntryInstance> instances =
                    bench.startInstances(
                            processes,
                            Vector.range(0, sizes.instances).map(index -> dataCentre(index, sizes)),
                            POLICY,
                            platform,
                            PROCESSORS_PER_INSTANCE);
            ControlPlaneInstallation installation =
                    new ControlPlaneInstallation(bench, processes, sizes, platform, instances);
            bench.publishInitialSet(instances, installation.objectSetBuilder.toJson());
            installation.generation =
                    bench.operator().readGeneration(instances.head().address()).join();
            return installation;
        } catch (RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    Vector<BenchContext.EntryInstance> instances() {
        return instances;
    }

    /** Changes one field of one endpoint and waits until all instances have adopted the change. */
    ChangeTiming publishChange() {
        publishedChanges++;
        objectSetBuilder.setSlots(
                publishedChanges % endpointCount,
                INITIAL_SLOTS + 1 + publishedChanges / endpointCount);
        long previousGeneration = generation;
        String document = objectSetBuilder.toJson();
        long sentNanos = System.nanoTime();
        CompletableFuture<Long> publication =
                bench.operator().publish(instances.head().address(), previousGeneration, document);
        Vector<CompletableFuture<Long>> adoptionTimes =
                instances.map(instance -> awaitNewerGeneration(instance, previousGeneration));
        generation = publication.join();
        long confirmedNanos = System.nanoTime();
        long lastAdoptedNanos = adoptionTimes.map(CompletableFuture::join).max().get();
        return new ChangeTiming(
                (confirmedNanos - sentNanos) / NANOS_PER_MS,
                (lastAdoptedNanos - confirmedNanos) / NANOS_PER_MS);
    }

    /** Reads the number of store calls since the start, by kind. */
    Map<String, Long> storeCalls() {
        return OperatorClient.integerFields(
                bench.operator().readAdmin(platform, "/admin/calls").join());
    }

    /** Returns the CPU time of all instances, in milliseconds. */
    double cpuMs() {
        return instances
                .map(instance -> ProcessStatistics.cpuMs(instance.process().pid()))
                .sum()
                .doubleValue();
    }

    /** Returns the mean resident memory of an instance, in MiB. */
    double rssMib() {
        return instances
                .map(instance -> ProcessStatistics.rssMib(instance.process().pid()))
                .average()
                .get();
    }

    /** Measures the live heap of the first instance, in MiB. */
    double liveHeapMib() {
        return ProcessStatistics.liveHeapMib(instances.head().process().pid());
    }

    /**
     * Reads the control traffic of all instances, sent and received, in bytes. Instances that do
     * not export the metric count as 0.
     */
    double controlBytes() {
        return instances
                .map(
                        instance ->
                                bench.operator()
                                        .readMetric(instance.address(), CONTROL_BYTES_METRIC)
                                        .join())
                .sum()
                .doubleValue();
    }

    /** Returns the size of the configuration head in the store, in bytes. */
    long headBytes() {
        return readValue("config/head").length();
    }

    /** Returns the size of each configuration part that the head refers to, in bytes. */
    Vector<Long> partBytes() {
        JsonNode head = BenchJson.parse(readValue("config/head"));
        return Iterator.ofAll(head.path("parts"))
                .map(
                        part ->
                                (long)
                                        readValue("config/part/" + part.path("digest").asText())
                                                .length())
                .toVector();
    }

    @Override
    public void close() {
        processes.close();
    }

    private String readValue(String key) {
        return bench.operator().readStoreValue(platform, key).join();
    }

    /**
     * Returns the {@link System#nanoTime} at which the instance first reports a newer generation.
     */
    private CompletableFuture<Long> awaitNewerGeneration(
            BenchContext.EntryInstance instance, long previousGeneration) {
        return bench.operator()
                .readGeneration(instance.address())
                .thenCompose(
                        current -> {
                            if (current > previousGeneration) {
                                return CompletableFuture.completedFuture(System.nanoTime());
                            }
                            return CompletableFuture.supplyAsync(
                                            () ->
                                                    awaitNewerGeneration(
                                                            instance, previousGeneration),
                                            CompletableFuture.delayedExecutor(
                                                    POLL_INTERVAL_MS,
                                                    TimeUnit.MILLISECONDS,
                                                    bench.scheduler()))
                                    .thenCompose(timeNanos -> timeNanos);
                        });
    }

    private static ObjectSetBuilder createObjectSetBuilder(Sizes sizes) {
        ObjectSetBuilder builder = new ObjectSetBuilder().addGroup("pool", "pool");
        for (int index = 0; index < sizes.organisations; index++) {
            builder.addOrganisation("organisation-" + index, 1 + index % 100);
        }
        for (int index = 0; index < sizes.endpoints; index++) {
            builder.addEndpoint(
                    "endpoint-" + index,
                    "pool",
                    dataCentre(index, sizes),
                    "127.0.0.1:" + (FIRST_ENDPOINT_PORT + index % ENDPOINT_PORTS),
                    INITIAL_SLOTS);
        }
        return builder.addStage("look", "pool", true, false, 10).addPipeline("look", 1000, "look");
    }

    private static String dataCentre(int index, Sizes sizes) {
        return "dc-" + (1 + index % sizes.dataCentres);
    }
}
