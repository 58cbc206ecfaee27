package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sequoiaspindle.bench.coordination.LoadShape;
import org.sequoiaspindle.bench.coordination.RequestPlan;
import org.sequoiaspindle.bench.coordination.RunMetrics;
import org.sequoiaspindle.bench.coordination.Scenario;
import org.sequoiaspindle.bench.protocol.CallerClient;
import org.sequoiaspindle.bench.protocol.LoadRun;
import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestRecord;
import org.sequoiaspindle.bench.state.RunResult;
import org.sequoiaspindle.bench.state.Sizes;
import org.sequoiaspindle.bench.state.Window;

/** One run of one scenario with one policy, on an installation of its own. */
final class PolicyRun {

    private static final double WARM_UP_LOAD = 0.4;
    private static final long WARM_UP_SEED = 7;

    private static final double NANOS_PER_MS = 1e6;

    private final Bench bench;
    private final Sizes sizes;
    private final double warmUpSeconds;
    private final double seconds;
    private final long seed;

    PolicyRun(Bench bench, Sizes sizes, double warmUpSeconds, double seconds, long seed) {
        this.bench = bench;
        this.sizes = sizes;
        this.warmUpSeconds = warmUpSeconds;
        this.seconds = seconds;
        this.seed = seed;
    }

    /** Starts the installation, warms it up, runs the scenario and ends all processes. */
    RunResult run(Scenario scenario, String variant, int round, Path directory) {
        try (PolicyInstallation installation =
                PolicyInstallation.start(bench, sizes, variant, directory)) {
            LoadShape warmUp = LoadShape.constant(WARM_UP_LOAD);
            send(
                    installation,
                    RequestPlan.draw(sizes, warmUp, false, warmUpSeconds, WARM_UP_SEED),
                    () -> {});
            return new RunResult(
                    scenario.label(), variant, round, measured(installation, scenario, round));
        }
    }

    private Map<String, Double> measured(
            PolicyInstallation installation, Scenario scenario, int round) {
        Map<String, Map<String, Long>> statsBefore = installation.stats();
        Map<String, Double> cpuBefore = installation.cpuMs();
        long start = System.nanoTime();
        Window window = Window.middleThird((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
        FaultInjection fault = new FaultInjection(bench, installation, scenario.fault());
        Vector<RequestRecord> records =
                send(
                        installation,
                        RequestPlan.draw(
                                sizes,
                                scenario.shape(seconds),
                                scenario.hasReports(),
                                seconds,
                                seed + round),
                        () -> {
                            at(scenario.fault().beginNanos(window), fault::begin);
                            at(window.toNanos(), fault::end);
                        });
        double elapsedMs = (System.nanoTime() - start) / NANOS_PER_MS;
        return RunMetrics.of(
                        records,
                        window,
                        RunMetrics.difference(statsBefore, installation.stats()),
                        installation.paymentExecutions())
                .merge(RunMetrics.cores(cpuBefore, installation.cpuMs(), elapsedMs))
                .put("hostLoadAverage", ProcessStatistics.hostLoadAverage());
    }

    private Vector<RequestRecord> send(
            PolicyInstallation installation, Vector<PlannedRequest> planned, Runnable atStart) {
        long start = System.nanoTime();
        LongSupplier runNanos = () -> System.nanoTime() - start;
        CallerClient caller =
                new CallerClient(
                        bench.http(),
                        installation.instances().map(Bench.Instance::address),
                        runNanos,
                        System::currentTimeMillis);
        atStart.run();
        return LoadRun.run(
                planned, PlannedRequest::atNanos, runNanos, bench.scheduler(), caller::send);
    }

    private void at(long nanos, Supplier<CompletableFuture<Void>> action) {
        bench.scheduler()
                .schedule(
                        () ->
                                action.get()
                                        .exceptionally(
                                                failure -> {
                                                    System.err.println("fault: " + failure);
                                                    return null;
                                                }),
                        nanos,
                        TimeUnit.NANOSECONDS);
    }
}
