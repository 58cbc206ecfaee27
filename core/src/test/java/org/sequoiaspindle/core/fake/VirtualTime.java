package org.sequoiaspindle.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/**
 * Clock and timer that run on one thread and advance only when told. Tasks that are due at the same
 * time run in an order drawn from the seed.
 */
public final class VirtualTime implements MillisClock, Timer {
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private long now;

    public VirtualTime(long startMillis, Random random) {
        this.now = startMillis;
        this.random = random;
    }

    private record Task(long at, long order, AtomicBoolean cancelled, Runnable action) {}

    @Override
    public long now() {
        return now;
    }

    @Override
    public Runnable schedule(long delayMillis, Runnable task) {
        AtomicBoolean cancelled = new AtomicBoolean();
        long at = now + Math.max(0, delayMillis);
        tasks.add(new Task(at, random.nextLong(), cancelled, task));
        return () -> cancelled.set(true);
    }

    /** Runs every task that falls due within the time. */
    public void advance(long millis) {
        advance(millis, () -> {});
    }

    /** Runs every task that falls due within the time and the check after each. */
    public void advance(long millis, Runnable check) {
        long end = now + millis;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            if (!task.cancelled().get()) {
                task.action().run();
                check.run();
            }
        }
        now = end;
    }
}
