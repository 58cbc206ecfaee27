package org.sequoiaspindle.core.coordination.forwarding;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/** Requests in flight, reported load and health of one replica. Thread-safe. */
public final class ReplicaStatus {

    /** Age at which a load report is ignored, in milliseconds. */
    public static final long LOAD_TTL_MS = 1_000;

    private record LoadReport(ReplicaLoad load, long at, int ownInFlight) {}

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicReference<ReplicaHealth> health =
            new AtomicReference<>(ReplicaHealth.HEALTHY);
    private final AtomicReference<LoadReport> lastReport = new AtomicReference<>();

    /** Counts a request to the replica as in flight until {@link #requestFinished} is called. */
    public void requestStarted() {
        inFlight.incrementAndGet();
    }

    public void requestFinished() {
        inFlight.decrementAndGet();
    }

    /** Requests of this instance in flight at the replica. */
    public int inFlight() {
        return inFlight.get();
    }

    public ReplicaHealth health() {
        return health.get();
    }

    public void updateHealth(UnaryOperator<ReplicaHealth> change) {
        health.updateAndGet(change);
    }

    public void recordLoad(ReplicaLoad load, long now) {
        lastReport.set(new LoadReport(load, now, inFlight.get()));
    }

    /** Age of the last load report in milliseconds, empty if there was none. */
    public OptionalLong reportAgeMillis(long now) {
        LoadReport last = lastReport.get();
        return last == null ? OptionalLong.empty() : OptionalLong.of(now - last.at());
    }

    /**
     * Expected number of requests in flight at the replica from all callers: those of this
     * instance, plus those of other callers according to the last load report. The weight of the
     * report falls linearly with its age.
     */
    public double expectedLoad(long now) {
        int own = inFlight.get();
        LoadReport last = lastReport.get();
        if (last == null || now - last.at() > LOAD_TTL_MS) {
            return own;
        }
        double others =
                Math.max(0, last.load().running() + last.load().waiting() - last.ownInFlight());
        double freshness = 1.0 - (double) (now - last.at()) / LOAD_TTL_MS;
        return own + others * freshness;
    }
}
