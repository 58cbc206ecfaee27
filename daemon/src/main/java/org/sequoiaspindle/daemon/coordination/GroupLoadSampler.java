package org.sequoiaspindle.daemon.coordination;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.coordination.routing.GroupState;

/**
 * Measures the load of the endpoint groups for the heartbeats to other instances. Samples are
 * reused for {@value #MIN_SAMPLE_INTERVAL_MS} ms. Thread-safe.
 */
public final class GroupLoadSampler implements Supplier<Map<String, GroupLoad>> {

    private static final long MIN_SAMPLE_INTERVAL_MS = 500;

    private final GroupSchedulers groups;
    private final MillisClock clock;
    private final AtomicReference<Sample> lastSample;

    /**
     * Counts of assigned calls by group when the sample was taken, and the loads of the groups. The
     * arrival rates are computed from the differences to the counts of the previous sample.
     */
    private record Sample(
            long takenAtMillis, Map<String, Long> assignedCounts, Map<String, GroupLoad> loads) {}

    public GroupLoadSampler(GroupSchedulers groups, MillisClock clock) {
        this.groups = groups;
        this.clock = clock;
        this.lastSample = new AtomicReference<>(new Sample(0, HashMap.empty(), HashMap.empty()));
    }

    @Override
    public Map<String, GroupLoad> get() {
        Sample previousSample = lastSample.get();
        long nowMillis = clock.now();
        if (nowMillis - previousSample.takenAtMillis() < MIN_SAMPLE_INTERVAL_MS) {
            return previousSample.loads();
        }
        Sample nextSample = sample(previousSample, nowMillis);
        lastSample.compareAndSet(previousSample, nextSample);
        return nextSample.loads();
    }

    private Sample sample(Sample previousSample, long nowMillis) {
        Map<String, Long> assignedCounts = HashMap.empty();
        Map<String, GroupLoad> loads = HashMap.empty();
        for (String name : groups.names()) {
            GroupState state = groups.scheduler(name).state();
            if (!state.hasOpenEndpoint()) {
                continue;
            }
            long arrivals =
                    state.assignedCount()
                            - previousSample
                                    .assignedCounts()
                                    .getOrElse(name, state.assignedCount());
            int arrivalsPerSecond =
                    (int)
                            (arrivals
                                    * 1000
                                    / Math.max(1, nowMillis - previousSample.takenAtMillis()));
            assignedCounts = assignedCounts.put(name, state.assignedCount());
            loads = loads.put(name, load(state, arrivalsPerSecond));
        }
        return new Sample(nowMillis, assignedCounts, loads);
    }

    private static GroupLoad load(GroupState state, int arrivalsPerSecond) {
        return new GroupLoad(
                arrivalsPerSecond,
                state.totals().inFlight(),
                state.pendingCount(),
                (int) state.totals().limit());
    }
}
