package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;

/** The fault in force on an endpoint. Holds back the steps of frozen calls until it ends. */
public final class EndpointFaults {

    private record Held(EndpointFault fault, long endsAtMs) {}

    private record Step(double draw, Runnable action) {}

    private final AtomicReference<Held> held =
            new AtomicReference<>(new Held(EndpointFault.none(), Long.MAX_VALUE));
    private final Queue<Step> frozen = new ConcurrentLinkedQueue<>();
    private final LongSupplier nowMs;
    private final Timer timer;

    public EndpointFaults(LongSupplier nowMs, Timer timer) {
        this.nowMs = nowMs;
        this.timer = timer;
    }

    public EndpointFault current() {
        Held present = held.get();
        return nowMs.getAsLong() < present.endsAtMs ? present.fault : EndpointFault.none();
    }

    public void set(EndpointFault fault) {
        long durationMs = fault.durationMs();
        long endsAtMs = durationMs > 0 ? nowMs.getAsLong() + durationMs : Long.MAX_VALUE;
        held.set(new Held(fault, endsAtMs));
        if (durationMs > 0) {
            timer.after(durationMs, this::resumeAll);
        }
        resumeAll();
    }

    /** Runs the next step of a call, or holds it back while the call is frozen. */
    public void pass(double draw, Runnable action) {
        if (!isFrozen(draw)) {
            action.run();
            return;
        }
        frozen.add(new Step(draw, action));
        // The fault may have ended after the first check, with this step not yet in the queue.
        if (!isFrozen(draw)) {
            resumeAll();
        }
    }

    private boolean isFrozen(double draw) {
        return current().modeFor(draw) == Mode.FROZEN;
    }

    private void resumeAll() {
        List<Step> steps = new ArrayList<>();
        for (Step step = frozen.poll(); step != null; step = frozen.poll()) {
            steps.add(step);
        }
        steps.forEach(step -> pass(step.draw, step.action));
    }
}
