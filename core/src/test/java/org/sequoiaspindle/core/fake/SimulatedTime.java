package org.sequoiaspindle.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;

/** Clock and timer of a single-threaded simulation; time passes only when told. */
public final class SimulatedTime implements MillisClock, Timer {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private long now = 1_000;
    private long order;

    private record Task(long at, long order, AtomicBoolean cancelled, Runnable work) {}

    @Override
    public long now() {
        return now;
    }

    @Override
    public Runnable schedule(long delayMillis, Runnable work) {
        AtomicBoolean cancelled = new AtomicBoolean();
        tasks.add(new Task(now + Math.max(0, delayMillis), order++, cancelled, work));
        return () -> cancelled.set(true);
    }

    /** Runs everything that is due within the given time. */
    public void advance(long millis) {
        long until = now + millis;
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task task = tasks.poll();
            now = task.at();
            if (!task.cancelled().get()) {
                task.work().run();
            }
        }
        now = until;
    }
}
