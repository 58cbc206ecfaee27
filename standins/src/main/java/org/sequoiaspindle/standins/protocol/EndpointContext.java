package org.sequoiaspindle.standins.protocol;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.coordination.EnumCounter;
import org.sequoiaspindle.standins.coordination.FaultInjector;
import org.sequoiaspindle.standins.coordination.SlotScheduler;
import org.sequoiaspindle.standins.state.EndpointOptions;

/** Holds the slots, fault, counters and executor that all calls of one endpoint share. */
final class EndpointContext {

    private final SlotScheduler slots;
    private final FaultInjector faults;
    private final EnumCounter<EndpointStat> counters = new EnumCounter<>(EndpointStat.class);
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final StageExecutor executor;
    private final LongSupplier nowMs;

    EndpointContext(
            EndpointOptions options,
            ActionScheduler scheduler,
            LongSupplier nowMs,
            StageExecutor executor) {
        slots =
                new SlotScheduler(
                        options.slots(), options.queueLimit(), options.loadLagMs(), scheduler);
        faults = new FaultInjector(nowMs, scheduler);
        this.nowMs = nowMs;
        this.executor = executor;
    }

    SlotScheduler slots() {
        return slots;
    }

    FaultInjector faults() {
        return faults;
    }

    EnumCounter<EndpointStat> counters() {
        return counters;
    }

    StageExecutor executor() {
        return executor;
    }

    long nowMs() {
        return nowMs.getAsLong();
    }

    boolean isLeaving() {
        return leaving.get();
    }

    void setLeaving(boolean value) {
        leaving.set(value);
    }
}
