package org.sequoiaspindle.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.sequoiaspindle.core.protocol.store.Scheduler;

/**
 * Clock and scheduler that run on one thread and advance only when told. Tasks that are due at the
 * same time run in an order drawn from the seed.
 */
public final class VirtualTime implements Scheduler {
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private long now;

    public VirtualTime(long startMillis, Random random) {
        this.now = startMillis;
        this.random = random;
    }

    private record Task(long at, long order, Runnable action) {}

    public long now() {
        return now;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(now + delayMillis, random.nextLong(), task));
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
            task.action().run();
            check.run();
        }
        now = end;
    }
}
