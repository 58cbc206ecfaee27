package org.sequoiaspindle.standins.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Clock and timer that move only when the test says so. */
final class ManualTimer implements Timer {

    private record Due(double atMs, Runnable action) {}

    private final List<Due> pending = new ArrayList<>();
    private long nowMs;

    long nowMs() {
        return nowMs;
    }

    @Override
    public Runnable after(double delayMs, Runnable action) {
        Due due = new Due(nowMs + delayMs, action);
        pending.add(due);
        return () -> pending.remove(due);
    }

    /** Moves the clock on and runs what becomes due, in order. */
    void advance(long byMs) {
        long end = nowMs + byMs;
        for (Optional<Due> next = next(end); next.isPresent(); next = next(end)) {
            pending.remove(next.get());
            nowMs = Math.max(nowMs, (long) next.get().atMs);
            next.get().action.run();
        }
        nowMs = end;
    }

    private Optional<Due> next(long endMs) {
        return pending.stream()
                .filter(due -> due.atMs <= endMs)
                .min(Comparator.comparingDouble(Due::atMs));
    }
}
