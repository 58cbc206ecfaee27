package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;

/**
 * Holds the current fault of an endpoint and defers the steps of frozen calls until the fault ends.
 * Thread-safe.
 */
public final class FaultInjector {

    private record TimedFault(EndpointFault fault, long endsAtMs) {}

    private record FrozenStep(double randomValue, Runnable action) {}

    private final AtomicReference<TimedFault> activeFault =
            new AtomicReference<>(new TimedFault(EndpointFault.none(), Long.MAX_VALUE));
    private final Queue<FrozenStep> frozenSteps = new ConcurrentLinkedQueue<>();
    private final LongSupplier nowMs;
    private final ActionScheduler scheduler;

    public FaultInjector(LongSupplier nowMs, ActionScheduler scheduler) {
        this.nowMs = nowMs;
        this.scheduler = scheduler;
    }

    public EndpointFault currentFault() {
        TimedFault timedFault = activeFault.get();
        return nowMs.getAsLong() < timedFault.endsAtMs ? timedFault.fault : EndpointFault.none();
    }

    public void setFault(EndpointFault fault) {
        long durationMs = fault.durationMs();
        long endsAtMs = durationMs > 0 ? nowMs.getAsLong() + durationMs : Long.MAX_VALUE;
        activeFault.set(new TimedFault(fault, endsAtMs));
        if (durationMs > 0) {
            scheduler.schedule(durationMs, this::resumeAll);
        }
        resumeAll();
    }

    /**
     * Runs the next step of a call, or defers the step until the call is no longer frozen.
     *
     * @param randomValue random number of the call from [0, 1)
     */
    public void runUnlessFrozen(double randomValue, Runnable action) {
        if (!isFrozen(randomValue)) {
            action.run();
            return;
        }
        frozenSteps.add(new FrozenStep(randomValue, action));
        // The fault may have ended between the check and the insertion into the queue.
        if (!isFrozen(randomValue)) {
            resumeAll();
        }
    }

    private boolean isFrozen(double randomValue) {
        return currentFault().modeFor(randomValue) == Mode.FROZEN;
    }

    private void resumeAll() {
        List<FrozenStep> steps = new ArrayList<>();
        for (FrozenStep step = frozenSteps.poll(); step != null; step = frozenSteps.poll()) {
            steps.add(step);
        }
        steps.forEach(step -> runUnlessFrozen(step.randomValue, step.action));
    }
}
