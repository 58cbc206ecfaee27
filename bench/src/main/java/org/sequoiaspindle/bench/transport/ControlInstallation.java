package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Iterator;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiaspindle.bench.protocol.Json;
import org.sequoiaspindle.bench.protocol.ObjectSetDocument;
import org.sequoiaspindle.bench.protocol.OperatorClient;

/** Entry instances without load; their endpoints do not exist. Not thread-safe. */
final class ControlInstallation implements AutoCloseable {

    private static final String POLICY = "chosen";
    private static final int PROCESSORS = 2;
    private static final int SLOTS = 8;
    private static final int FIRST_PORT = 10_000;
    private static final int PORTS = 50_000;
    private static final long POLL_MS = 5;
    private static final double NANOS_PER_MS = 1e6;
    private static final String CONTROL_BYTES = "sequoiaspindle_control_bytes_total";

    private final Bench bench;
    private final ChildProcesses processes;
    private final String platform;
    private final Vector<Bench.Instance> instances;
    private final ObjectSetDocument objects;
    private final int endpoints;
    private long generation;
    private int changes;

    private ControlInstallation(
            Bench bench,
            ChildProcesses processes,
            Sizes sizes,
            String platform,
            Vector<Bench.Instance> instances) {
        this.bench = bench;
        this.processes = processes;
        this.platform = platform;
        this.instances = instances;
        objects = objects(sizes);
        endpoints = sizes.endpoints;
    }

    /**
     * Sizes of an installation.
     *
     * @param endpoints spread over the data centres
     */
    record Sizes(int instances, int dataCentres, int endpoints, int organisations) {}

    /**
     * How long one change took, in milliseconds.
     *
     * @param acceptedMs from sending the publication to its confirmation
     * @param lastMs from the confirmation until it was in force on the last instance; negative if
     *     that was seen before the confirmation arrived
     */
    record Change(double acceptedMs, double lastMs) {}

    /** Starts the instances, publishes the set and waits until it is in force. */
    static ControlInstallation start(Bench bench, Sizes sizes, Path directory) {
        ChildProcesses processes = new ChildProcesses(directory);
        try {
            String platform = processes.platform();
            Vector<Bench.Instance> instances =
                    bench.instances(
                            processes,
                            Vector.range(0, sizes.instances).map(index -> dataCentre(index, sizes)),
                            POLICY,
                            platform,
                            PROCESSORS);
            ControlInstallation installation =
                    new ControlInstallation(bench, processes, sizes, platform, instances);
            bench.publishFirst(instances, installation.objects.text());
            installation.generation =
                    bench.operator().generation(instances.head().address()).join();
            return installation;
        } catch (RuntimeException e) {
            processes.close();
            throw e;
        }
    }

    Vector<Bench.Instance> instances() {
        return instances;
    }

    /** Changes one field of one endpoint and waits until it is in force everywhere. */
    Change change() {
        changes++;
        objects.slots(changes % endpoints, SLOTS + 1 + changes / endpoints);
        long before = generation;
        String document = objects.text();
        long sent = System.nanoTime();
        CompletableFuture<Long> published =
                bench.operator().publish(instances.head().address(), before, document);
        Vector<CompletableFuture<Long>> inForce =
                instances.map(instance -> awaitAfter(instance, before));
        generation = published.join();
        long accepted = System.nanoTime();
        long last = inForce.map(CompletableFuture::join).max().get();
        return new Change((accepted - sent) / NANOS_PER_MS, (last - accepted) / NANOS_PER_MS);
    }

    /** Calls of the store since the start, by kind. */
    Map<String, Long> storeCalls() {
        return OperatorClient.counts(bench.operator().report(platform, "/admin/calls").join());
    }

    /** CPU time of all instances in milliseconds. */
    double cpuMs() {
        return instances
                .map(instance -> ProcessStatistics.cpuMs(instance.process().pid()))
                .sum()
                .doubleValue();
    }

    /** Mean resident memory of an instance. */
    double rssMb() {
        return instances
                .map(instance -> ProcessStatistics.rssMb(instance.process().pid()))
                .average()
                .get();
    }

    /** Live heap of the first instance. */
    double liveHeapMb() {
        return ProcessStatistics.liveHeapMb(instances.head().process().pid());
    }

    /** Control bytes that all instances have sent and received, 0 if they do not report them. */
    double controlBytes() {
        return instances
                .map(instance -> bench.operator().metric(instance.address(), CONTROL_BYTES).join())
                .sum()
                .doubleValue();
    }

    /** Bytes of the head in the store. */
    long headBytes() {
        return value("config/head").length();
    }

    /** Bytes of each part that the head names. */
    Vector<Long> partBytes() {
        JsonNode head = Json.parse(value("config/head"));
        return Iterator.ofAll(head.path("parts"))
                .map(part -> (long) value("config/part/" + part.path("digest").asText()).length())
                .toVector();
    }

    @Override
    public void close() {
        processes.close();
    }

    private String value(String key) {
        return bench.operator().storeValue(platform, key).join();
    }

    /** When the instance first reported a generation after another one. */
    private CompletableFuture<Long> awaitAfter(Bench.Instance instance, long before) {
        return bench.operator()
                .generation(instance.address())
                .thenCompose(
                        now -> {
                            if (now > before) {
                                return CompletableFuture.completedFuture(System.nanoTime());
                            }
                            return CompletableFuture.supplyAsync(
                                            () -> awaitAfter(instance, before),
                                            CompletableFuture.delayedExecutor(
                                                    POLL_MS,
                                                    TimeUnit.MILLISECONDS,
                                                    bench.scheduler()))
                                    .thenCompose(later -> later);
                        });
    }

    private static ObjectSetDocument objects(Sizes sizes) {
        ObjectSetDocument set = new ObjectSetDocument().group("pool", "pool");
        for (int index = 0; index < sizes.organisations; index++) {
            set.organisation("organisation-" + index, 1 + index % 100);
        }
        for (int index = 0; index < sizes.endpoints; index++) {
            set.endpoint(
                    "endpoint-" + index,
                    "pool",
                    dataCentre(index, sizes),
                    "127.0.0.1:" + (FIRST_PORT + index % PORTS),
                    SLOTS);
        }
        return set.stage("look", "pool", true, false, 10).pipeline("look", 1000, "look");
    }

    private static String dataCentre(int index, Sizes sizes) {
        return "dc-" + (1 + index % sizes.dataCentres);
    }
}
