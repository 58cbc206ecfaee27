package org.sequoiaspindle.standins.protocol;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.CallCounter;
import org.sequoiaspindle.standins.coordination.EndpointFaults;
import org.sequoiaspindle.standins.coordination.Slots;
import org.sequoiaspindle.standins.coordination.Timer;
import org.sequoiaspindle.standins.state.EndpointOptions;

/** What the calls of one endpoint share. */
final class EndpointState {

    private final Slots slots;
    private final EndpointFaults faults;
    private final CallCounter<EndpointStat> stats = new CallCounter<>(EndpointStat.class);
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final Execution execution;
    private final LongSupplier nowMs;

    EndpointState(EndpointOptions options, Timer timer, LongSupplier nowMs, Execution execution) {
        slots = new Slots(options.slots(), options.queueLimit(), options.loadLagMs(), timer);
        faults = new EndpointFaults(nowMs, timer);
        this.nowMs = nowMs;
        this.execution = execution;
    }

    Slots slots() {
        return slots;
    }

    EndpointFaults faults() {
        return faults;
    }

    CallCounter<EndpointStat> stats() {
        return stats;
    }

    Execution execution() {
        return execution;
    }

    long nowMs() {
        return nowMs.getAsLong();
    }

    boolean isLeaving() {
        return leaving.get();
    }

    void leaving(boolean value) {
        leaving.set(value);
    }
}
