package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Vector;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.sequoiaspindle.bench.protocol.OperatorClient;
import org.sequoiaspindle.bench.protocol.SettingsDocument;

/** What all experiments share: HTTP client, scheduler and the start of instances. */
final class Bench implements AutoCloseable {

    private static final int SCHEDULER_THREADS = 2;
    private static final long POLL_MS = 20;

    private final JdkHttpCaller http = new JdkHttpCaller();
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
     * An entry instance that runs.
     *
     * @param address of its HTTP listener
     */
    record Instance(String name, String address, ChildProcess process) {}

    JdkHttpCaller http() {
        return http;
    }

    OperatorClient operator() {
        return operator;
    }

    ScheduledExecutorService scheduler() {
        return scheduler;
    }

    /**
     * Starts instances that know each other's peer links.
     *
     * @param dataCentres data centre of each instance
     */
    Vector<Instance> instances(
            ChildProcesses processes,
            Vector<String> dataCentres,
            String policy,
            String platform,
            int processors) {
        Vector<Integer> ports = dataCentres.map(dataCentre -> ChildProcesses.freePort());
        Vector<String> peers = ports.map(port -> "127.0.0.1:" + port);
        return dataCentres
                .zipWithIndex()
                .map(
                        item -> {
                            String name = "entry-" + (item._2 + 1);
                            String settings =
                                    SettingsDocument.of(
                                            name,
                                            item._1,
                                            policy,
                                            ports.get(item._2),
                                            peers.removeAt(item._2),
                                            platform);
                            return new Instance(
                                    name, "", processes.daemon(name, settings, processors));
                        })
                .map(
                        started ->
                                new Instance(
                                        started.name(),
                                        started.process().awaitReady().group(1),
                                        started.process()));
    }

    /** Publishes the first set and waits until it is in force everywhere. */
    void publishFirst(Vector<Instance> instances, String document) {
        long generation = operator.publish(instances.head().address(), 0, document).join();
        Pause.until(
                scheduler,
                POLL_MS,
                () -> instances.forAll(instance -> isServing(instance, generation)));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private boolean isServing(Instance instance, long generation) {
        try {
            return operator.isReady(instance.address()).join()
                    && operator.generation(instance.address()).join() >= generation;
        } catch (CompletionException e) {
            return false;
        }
    }
}
