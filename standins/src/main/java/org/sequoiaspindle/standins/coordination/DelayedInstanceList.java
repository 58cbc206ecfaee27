package org.sequoiaspindle.standins.coordination;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.state.ListedInstance;

/** Instance list whose changes become visible after a delay. */
public final class DelayedInstanceList {

    private record NumberedList(long number, List<ListedInstance> instances) {}

    private final AtomicReference<NumberedList> visibleList =
            new AtomicReference<>(new NumberedList(0, List.of()));
    private final AtomicLong lastListNumber = new AtomicLong();
    private final ActionScheduler scheduler;

    public DelayedInstanceList(ActionScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Sets the list, which becomes visible after a delay. A list that was set earlier never
     * replaces a list that was set later, even if the delay of the earlier list ends later.
     */
    public void set(List<ListedInstance> instances, long lagMs) {
        NumberedList list =
                new NumberedList(lastListNumber.incrementAndGet(), List.copyOf(instances));
        if (lagMs == 0) {
            publish(list);
            return;
        }
        scheduler.schedule(lagMs, () -> publish(list));
    }

    public List<ListedInstance> visibleInstances() {
        return visibleList.get().instances;
    }

    private void publish(NumberedList list) {
        visibleList.updateAndGet(current -> list.number > current.number ? list : current);
    }
}
