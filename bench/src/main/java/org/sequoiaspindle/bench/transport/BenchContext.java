package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.sequoiaspindle.bench.protocol.InstanceSettings;
import org.sequoiaspindle.bench.protocol.OperatorClient;

/** Holds the HTTP clients and the scheduler of an experiment, and starts instances. */
final class BenchContext implements AutoCloseable {

    private static final int SCHEDULER_THREADS = 2;
    private static final long POLL_INTERVAL_MS = 20;

    private final JdkAsyncHttpClient http = new JdkAsyncHttpClient();
    private final OperatorClient operator = new OperatorClient(http);
    private final ScheduledThreadPoolExecutor scheduler =
            new ScheduledThreadPoolExecutor(
                    SCHEDULER_THREADS,
                    task -> {
                        Thread thread = new Thread(task, "bench scheduler");
                        thread.setDaemon(true);
                        return thread;
                    });

    /**
     * A running entry instance.
     *
     * @param address address of the HTTP listener, {@code ip:port}
     */
    record EntryInstance(String name, String address, ChildProcess process) {}

    JdkAsyncHttpClient http() {
        return http;
    }

    OperatorClient operator() {
        return operator;
    }

    ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /**
     * Starts instances that are configured as peers of each other.
     *
     * @param dataCentres data centre of each instance
     * @param processors number of processors that each JVM may use
     */
    Vector<EntryInstance> startInstances(
            ChildProcesses processes,
            Vector<String> dataCentres,
            String policy,
            String platform,
            int processors) {
        Vector<Integer> peerPorts = dataCentres.map(dataCentre -> ChildProcesses.freePort());
        Vector<String> peers = peerPorts.map(port -> "127.0.0.1:" + port);
        return dataCentres
                .zipWithIndex()
                .map(
                        indexedDataCentre -> {
                            String name = "entry-" + (indexedDataCentre._2 + 1);
                            String settings =
                                    InstanceSettings.toJson(
                                            name,
                                            indexedDataCentre._1,
                                            policy,
                                            peerPorts.get(indexedDataCentre._2),
                                            peers.removeAt(indexedDataCentre._2),
                                            platform);
                            return new EntryInstance(
                                    name, "", processes.startDaemon(name, settings, processors));
                        })
                .map(
                        instance ->
                                new EntryInstance(
                                        instance.name(),
                                        instance.process().awaitReady().group(1),
                                        instance.process()));
    }

    /** Publishes the initial object set and waits until it is active on all instances. */
    void publishInitialSet(Vector<EntryInstance> instances, String document) {
        long generation = operator.publish(instances.head().address(), 0, document).join();
        TimedWait.awaitCondition(
                scheduler,
                POLL_INTERVAL_MS,
                () -> instances.forAll(instance -> isReadyWithGeneration(instance, generation)));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private boolean isReadyWithGeneration(EntryInstance instance, long generation) {
        try {
            return operator.isReady(instance.address()).join()
                    && operator.readGeneration(instance.address()).join() >= generation;
        } catch (CompletionException e) {
            return false;
        }
    }
}
