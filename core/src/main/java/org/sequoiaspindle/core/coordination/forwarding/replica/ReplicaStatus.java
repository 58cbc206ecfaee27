package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/** Requests in flight, reported load and health of one replica. Thread-safe. */
public final class ReplicaStatus {

    /** Age at which a load report is ignored, in milliseconds. */
    public static final long LOAD_TTL_MS = 1_000;

    private record LoadReport(ReplicaLoad load, long receivedAt, int localInFlight) {}

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicReference<ReplicaHealth> health =
            new AtomicReference<>(ReplicaHealth.HEALTHY);
    private final AtomicReference<LoadReport> lastReport = new AtomicReference<>();
    private final AtomicReference<ReplicaAvailability> availability =
            new AtomicReference<>(ReplicaAvailability.AVAILABLE);
    private final AtomicReference<EndpointPace> pace = new AtomicReference<>(EndpointPace.USUAL);

    /** Counts a request to the replica as in flight until {@link #requestFinished} is called. */
    public void requestStarted() {
        inFlight.incrementAndGet();
    }

    public void requestFinished() {
        inFlight.decrementAndGet();
    }

    /** Returns the number of requests of this instance in flight at the replica. */
    public int inFlight() {
        return inFlight.get();
    }

    public ReplicaHealth health() {
        return health.get();
    }

    public void updateHealth(UnaryOperator<ReplicaHealth> change) {
        health.updateAndGet(change);
    }

    public EndpointPace pace() {
        return pace.get();
    }

    public void updatePace(UnaryOperator<EndpointPace> change) {
        pace.updateAndGet(change);
    }

    public ReplicaAvailability availability() {
        return availability.get();
    }

    /**
     * Records that the replica announced its shutdown.
     *
     * @return whether this is the first announcement
     */
    public boolean recordLeaving(long now) {
        return !availability.getAndUpdate(current -> current.afterLeaving(now)).isLeaving();
    }

    /**
     * Records that the replica asked for a pause.
     *
     * @return whether no pause was in force
     */
    public boolean recordPause(long millis, long now) {
        return !availability.getAndUpdate(current -> current.afterPause(millis, now)).isPaused(now);
    }

    /**
     * Records a pause that the replica asked for in an answer which may be a late copy of an
     * earlier one. A copy can only repeat an earlier request for a pause, so the first one is
     * believed.
     *
     * @return whether the pause was recorded
     */
    public boolean recordFirstPause(long millis, long now) {
        return !availability
                .getAndUpdate(
                        current ->
                                current.hasAskedForPause()
                                        ? current
                                        : current.afterPause(millis, now))
                .hasAskedForPause();
    }

    public void recordLoad(ReplicaLoad load, long now) {
        lastReport.set(new LoadReport(load, now, inFlight.get()));
    }

    /** Returns the age of the last load report in milliseconds, or empty if there was none. */
    public OptionalLong reportAgeMillis(long now) {
        LoadReport report = lastReport.get();
        return report == null ? OptionalLong.empty() : OptionalLong.of(now - report.receivedAt());
    }

    /**
     * Returns the expected number of requests in flight at the replica: the requests of this
     * instance, plus the requests of other callers according to the last load report. The weight of
     * the report falls linearly with its age.
     */
    public double expectedLoad(long now) {
        int localRequests = inFlight.get();
        LoadReport report = lastReport.get();
        if (report == null || now - report.receivedAt() > LOAD_TTL_MS) {
            return localRequests;
        }
        double otherRequests =
                Math.max(
                        0,
                        (double) report.load().running()
                                + report.load().waiting()
                                - report.localInFlight());
        double reportWeight = 1.0 - (double) (now - report.receivedAt()) / LOAD_TTL_MS;
        return localRequests + otherRequests * reportWeight;
    }
}
