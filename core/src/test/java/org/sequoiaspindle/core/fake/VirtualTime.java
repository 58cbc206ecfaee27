package org.sequoiaspindle.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/**
 * Single-threaded clock and timer whose time advances only by {@link #advance}. Tasks due at the
 * same time run in random order.
 */
public final class VirtualTime implements MillisClock, Timer {
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueAt).thenComparingLong(Task::order));
    private long now;

    public VirtualTime(long startMillis, Random random) {
        this.now = startMillis;
        this.random = random;
    }

    private record Task(long dueAt, long order, AtomicBoolean cancelled, Runnable action) {}

    @Override
    public long now() {
        return now;
    }

    @Override
    public Runnable schedule(long delayMillis, Runnable task) {
        AtomicBoolean cancelled = new AtomicBoolean();
        long dueAt = now + Math.max(0, delayMillis);
        tasks.add(new Task(dueAt, random.nextLong(), cancelled, task));
        return () -> cancelled.set(true);
    }

    /** Advances the time and runs every task that becomes due. */
    public void advance(long millis) {
        advance(millis, () -> {});
    }

    /** Advances the time, runs every task that becomes due and runs the check after each task. */
    public void advance(long millis, Runnable check) {
        long end = now + millis;
        while (!tasks.isEmpty() && tasks.peek().dueAt() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.dueAt());
            if (!task.cancelled().get()) {
                task.action().run();
                check.run();
            }
        }
        now = end;
    }
}
