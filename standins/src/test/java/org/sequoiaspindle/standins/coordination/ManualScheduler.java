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
    void advance(long durationMs) {
        long endMs = nowMs + durationMs;
        for (Optional<ScheduledAction> nextAction = nextUntil(endMs);
                nextAction.isPresent();
                nextAction = nextUntil(endMs)) {
            scheduledActions.remove(nextAction.get());
            nowMs = Math.max(nowMs, (long) nextAction.get().atMs);
            nextAction.get().action.run();
        }
        nowMs = endMs;
    }

    private Optional<ScheduledAction> nextUntil(long endMs) {
        return scheduledActions.stream()
                .filter(scheduledAction -> scheduledAction.atMs <= endMs)
                .min(Comparator.comparingDouble(ScheduledAction::atMs));
    }
}
