package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Clock and scheduler whose time a test advances explicitly. */
final class ManualScheduler implements ActionScheduler {

    private record ScheduledAction(double atMs, Runnable action) {}

    private final List<ScheduledAction> scheduledActions = new ArrayList<>();
    private long nowMs;

    long nowMs() {
        return nowMs;
    }

    @Override
    public Runnable schedule(double delayMs, Runnable action) {
        ScheduledAction scheduledAction = new ScheduledAction(nowMs + delayMs, action);
        scheduledActions.add(scheduledAction);
        return () -> scheduledActions.remove(scheduledAction);
    }

    /** Advances the clock and runs the actions that become due, in order of time. */
    void advance(long byMs) {
        long end = nowMs + byMs;
        for (Optional<ScheduledAction> next = nextUntil(end);
                next.isPresent();
                next = nextUntil(end)) {
            scheduledActions.remove(next.get());
            nowMs = Math.max(nowMs, (long) next.get().atMs);
            next.get().action.run();
        }
        nowMs = end;
    }

    private Optional<ScheduledAction> nextUntil(long endMs) {
        return scheduledActions.stream()
                .filter(scheduledAction -> scheduledAction.atMs <= endMs)
                .min(Comparator.comparingDouble(ScheduledAction::atMs));
    }
}
