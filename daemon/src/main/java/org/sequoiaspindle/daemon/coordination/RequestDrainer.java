package org.sequoiaspindle.daemon.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.sequoiaspindle.daemon.state.DrainTimeouts;

/**
 * Drains an instance before it stops. The instance first reports that it is not ready, so that the
 * load balancer stops sending requests, and still accepts requests for a grace period. It then
 * waits until all running requests have ended or the timeout has passed.
 */
public final class RequestDrainer {

    private enum Phase {
        SERVING,
        GRACE_PERIOD,
        AWAITING_REQUESTS
    }

    private record State(Phase phase, long runningRequests) {

        State withPhase(Phase next) {
            return new State(next, runningRequests);
        }

        State withRunningChange(long change) {
            return new State(phase, runningRequests + change);
        }

        boolean isDrained() {
            return phase == Phase.AWAITING_REQUESTS && runningRequests == 0;
        }
    }

    private final AtomicReference<State> state = new AtomicReference<>(new State(Phase.SERVING, 0));
    private final CompletableFuture<Void> idleOrTimedOut = new CompletableFuture<>();
    private final DrainTimeouts timeouts;
    private final LongFunction<CompletionStage<Void>> delayFor;

    /**
     * Creates a drainer in the serving phase.
     *
     * @param delayFor returns a stage that completes after the given number of milliseconds
     */
    public RequestDrainer(DrainTimeouts timeouts, LongFunction<CompletionStage<Void>> delayFor) {
        this.timeouts = timeouts;
        this.delayFor = delayFor;
    }

    /** Runs a request and counts it as running until its stage completes. */
    public <T> CompletionStage<T> track(Supplier<CompletionStage<T>> work) {
        state.updateAndGet(now -> now.withRunningChange(1));
        return work.get().whenComplete((result, failure) -> requestEnded());
    }

    public boolean isDraining() {
        return state.get().phase() != Phase.SERVING;
    }

    /** Number of running requests. */
    public long runningRequests() {
        return state.get().runningRequests();
    }

    /**
     * Starts the drain. Further calls return a stage for the same drain.
     *
     * @return completes with the number of requests still running at the timeout, 0 if all ended
     */
    public CompletionStage<Long> start() {
        State before =
                state.getAndUpdate(
                        now ->
                                now.phase() == Phase.SERVING
                                        ? now.withPhase(Phase.GRACE_PERIOD)
                                        : now);
        if (before.phase() == Phase.SERVING) {
            delayFor.apply(timeouts.gracePeriodMillis()).thenRun(this::awaitRunningRequests);
        }
        return idleOrTimedOut.thenApply(ended -> runningRequests());
    }

    private void awaitRunningRequests() {
        if (state.updateAndGet(now -> now.withPhase(Phase.AWAITING_REQUESTS)).isDrained()) {
            idleOrTimedOut.complete(null);
        }
        delayFor.apply(timeouts.requestTimeoutMillis())
                .thenRun(() -> idleOrTimedOut.complete(null));
    }

    private void requestEnded() {
        if (state.updateAndGet(now -> now.withRunningChange(-1)).isDrained()) {
            idleOrTimedOut.complete(null);
        }
    }
}
