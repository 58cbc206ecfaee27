package org.sequoiaspindle.core.coordination.forwarding;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

/** What this instance has under way at one replica and has learned of it. Thread-safe. */
public final class ReplicaStatus {

    /** Age from which a load report says nothing any more, in milliseconds. */
    public static final long LOAD_TTL_MS = 1_000;

    private record LoadReport(ReplicaLoad load, long at, int ownInFlight) {}

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicReference<ReplicaHealth> health =
            new AtomicReference<>(ReplicaHealth.HEALTHY);
    private final AtomicReference<LoadReport> lastReport = new AtomicReference<>();

    /** Notes that a request was sent to the replica; {@link #requestFinished} takes it back. */
    public void requestStarted() {
        inFlight.incrementAndGet();
    }

    public void requestFinished() {
        inFlight.decrementAndGet();
    }

    /** Requests that this instance has under way there. */
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
     * Requests that the replica is expected to have from all callers. A recent report counts for
     * the other callers; what this instance has sent since is added.
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
