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
    private final CompletableFuture<Void> drainEnd = new CompletableFuture<>();
    private final DrainTimeouts timeouts;
    private final LongFunction<CompletionStage<Void>> delayFunction;

    /**
     * Creates a drainer in the serving phase.
     *
     * @param delayFunction returns a future that completes after the given number of milliseconds
     */
    public RequestDrainer(
            DrainTimeouts timeouts, LongFunction<CompletionStage<Void>> delayFunction) {
        this.timeouts = timeouts;
        this.delayFunction = delayFunction;
    }

    /** Runs a request and counts it as running until the returned future completes. */
    public <T> CompletionStage<T> track(Supplier<CompletionStage<T>> request) {
        state.updateAndGet(currentState -> currentState.withRunningChange(1));
        return request.get().whenComplete((result, failure) -> requestEnded());
    }

    public boolean isDraining() {
        return state.get().phase() != Phase.SERVING;
    }

    /** Returns the number of running requests. */
    public long runningRequests() {
        return state.get().runningRequests();
    }

    /**
     * Starts the drain. If the drain has already started, returns a future for the same drain.
     *
     * @return future that completes with the number of requests still running at the timeout, 0 if
     *     all requests have ended
     */
    public CompletionStage<Long> start() {
        State previousState =
                state.getAndUpdate(
                        currentState ->
                                currentState.phase() == Phase.SERVING
                                        ? currentState.withPhase(Phase.GRACE_PERIOD)
                                        : currentState);
        if (previousState.phase() == Phase.SERVING) {
            delayFunction.apply(timeouts.gracePeriodMillis()).thenRun(this::awaitRunningRequests);
        }
        return drainEnd.thenApply(ended -> runningRequests());
    }

    private void awaitRunningRequests() {
        if (state.updateAndGet(currentState -> currentState.withPhase(Phase.AWAITING_REQUESTS))
                .isDrained()) {
            drainEnd.complete(null);
        }
        delayFunction.apply(timeouts.requestTimeoutMillis()).thenRun(() -> drainEnd.complete(null));
    }

    private void requestEnded() {
        if (state.updateAndGet(currentState -> currentState.withRunningChange(-1)).isDrained()) {
            drainEnd.complete(null);
        }
    }
}
