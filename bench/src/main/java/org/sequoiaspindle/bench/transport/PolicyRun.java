package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiaspindle.bench.coordination.LoadProfile;
import org.sequoiaspindle.bench.coordination.RequestGenerator;
import org.sequoiaspindle.bench.coordination.RunMetrics;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.LoadClient;
import org.sequoiaspindle.bench.protocol.OpenLoopLoad;
import org.sequoiaspindle.bench.state.MeasuredRequest;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RunResult;
import org.sequoiaspindle.bench.state.Sizes;
import org.sequoiaspindle.bench.state.TimeWindow;

/** Runs a scenario with a policy on a new installation. */
final class PolicyRun {

    private static final double WARM_UP_LOAD = 0.4;
    private static final long WARM_UP_SEED = 7;

    private static final double NANOS_PER_MS = 1e6;

    private final BenchContext bench;
    private final Sizes sizes;
    private final double warmUpSeconds;
    private final double seconds;
    private final long seed;

    PolicyRun(BenchContext bench, Sizes sizes, double warmUpSeconds, double seconds, long seed) {
        this.bench = bench;
        this.sizes = sizes;
        this.warmUpSeconds = warmUpSeconds;
        this.seconds = seconds;
        this.seed = seed;
    }

    /** Starts an installation, sends warm-up load, runs the scenario and stops all processes. */
    RunResult run(Scenario scenario, String variant, int round, Path directory) {
        try (PolicyInstallation installation =
                PolicyInstallation.start(bench, sizes, variant, directory)) {
            LoadProfile warmUp = LoadProfile.constant(WARM_UP_LOAD);
            send(
                    installation,
                    RequestGenerator.generate(sizes, warmUp, false, warmUpSeconds, WARM_UP_SEED),
                    () -> {});
            return new RunResult(
                    scenario.label(),
                    variant,
                    round,
                    measureScenario(installation, scenario, round));
        }
    }

    private Map<String, Double> measureScenario(
            PolicyInstallation installation, Scenario scenario, int round) {
        Map<String, Map<String, Long>> countersBefore = installation.readEndpointCounters();
        Map<String, Double> cpuBefore = installation.cpuMs();
        long startNanos = System.nanoTime();
        TimeWindow window = TimeWindow.middleThird((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
        FaultInjector faultInjector = new FaultInjector(bench, installation, scenario.fault());
        Vector<MeasuredRequest> requests =
                send(
                        installation,
                        RequestGenerator.generate(
                                sizes,
                                scenario.loadProfile(seconds),
                                scenario.includesReports(),
                                seconds,
                                seed + round),
                        () -> {
                            schedule(scenario.fault().startNanos(window), faultInjector::inject);
                            schedule(window.toNanos(), faultInjector::remove);
                        });
        double elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MS;
        return RunMetrics.of(
                        requests,
                        window,
                        RunMetrics.countersDifference(
                                countersBefore, installation.readEndpointCounters()),
                        installation.readPaymentExecutions())
                .merge(RunMetrics.cores(cpuBefore, installation.cpuMs(), elapsedMs))
                .put("hostLoadAverage", ProcessStatistics.hostLoadAverage());
    }

    private Vector<MeasuredRequest> send(
            PolicyInstallation installation,
            Vector<PlannedRequest> plannedRequests,
            Runnable onStart) {
        long startNanos = System.nanoTime();
        LongSupplier runNanos = () -> System.nanoTime() - startNanos;
        LoadClient client =
                new LoadClient(
                        bench.http(),
                        installation.instances().map(BenchContext.EntryInstance::address),
                        runNanos,
                        System::currentTimeMillis);
        onStart.run();
        return OpenLoopLoad.run(
                plannedRequests,
                PlannedRequest::plannedStartNanos,
                runNanos,
                bench.scheduler(),
                client::send);
    }

    private void schedule(long delayNanos, Supplier<CompletableFuture<Void>> action) {
        bench.scheduler()
                .schedule(
                        () ->
                                action.get()
                                        .exceptionally(
                                                failure -> {
                                                    System.err.println("fault: " + failure);
                                                    return null;
                                                }),
                        delayNanos,
                        TimeUnit.NANOSECONDS);
    }
}
