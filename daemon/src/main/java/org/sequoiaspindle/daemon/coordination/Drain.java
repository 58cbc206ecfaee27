package org.sequoiaspindle.daemon.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.sequoiaspindle.daemon.state.DrainLimits;

/**
 * Stops an instance without cutting off requests: it first tells the load balancer and still
 * accepts for a grace time, then waits until no request runs or the limit has passed.
 */
public final class Drain {

    private enum Phase {
        SERVING,
        GRACE,
        WAITING
    }

    private record State(Phase phase, long running) {

        State in(Phase next) {
            return new State(next, running);
        }

        State plus(long change) {
            return new State(phase, running + change);
        }

        boolean isIdle() {
            return phase == Phase.WAITING && running == 0;
        }
    }

    private final AtomicReference<State> state = new AtomicReference<>(new State(Phase.SERVING, 0));
    private final CompletableFuture<Void> idleOrLate = new CompletableFuture<>();
    private final DrainLimits limits;
    private final LongFunction<CompletionStage<Void>> delay;

    /**
     * Creates a drain that has not started.
     *
     * @param delay completes after the given number of milliseconds
     */
    public Drain(DrainLimits limits, LongFunction<CompletionStage<Void>> delay) {
        this.limits = limits;
        this.delay = delay;
    }

    /** Counts work as running until its stage completes. */
    public <T> CompletionStage<T> track(Supplier<CompletionStage<T>> work) {
        state.updateAndGet(now -> now.plus(1));
        return work.get().whenComplete((result, failure) -> leave());
    }

    public boolean isDraining() {
        return state.get().phase() != Phase.SERVING;
    }

    /** Number of requests that run. */
    public long running() {
        return state.get().running();
    }

    /**
     * Starts to drain; repeated calls wait for the same end.
     *
     * @return completes with the number of requests that are cut off
     */
    public CompletionStage<Long> start() {
        State before =
                state.getAndUpdate(now -> now.phase() == Phase.SERVING ? now.in(Phase.GRACE) : now);
        if (before.phase() == Phase.SERVING) {
            delay.apply(limits.graceMillis()).thenRun(this::awaitRunning);
        }
        return idleOrLate.thenApply(ended -> running());
    }

    private void awaitRunning() {
        if (state.updateAndGet(now -> now.in(Phase.WAITING)).isIdle()) {
            idleOrLate.complete(null);
        }
        delay.apply(limits.limitMillis()).thenRun(() -> idleOrLate.complete(null));
    }

    private void leave() {
        if (state.updateAndGet(now -> now.plus(-1)).isIdle()) {
            idleOrLate.complete(null);
        }
    }
}
