package org.sequoiaspindle.standins.coordination;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.state.ListedInstance;

/** Instance list whose changes become visible after a lag. */
public final class InstanceListing {

    private record Edition(long number, List<ListedInstance> instances) {}

    private final AtomicReference<Edition> visible =
            new AtomicReference<>(new Edition(0, List.of()));
    private final AtomicLong lastNumber = new AtomicLong();
    private final Timer timer;

    public InstanceListing(Timer timer) {
        this.timer = timer;
    }

    /** Sets the list; a list set earlier never replaces one that was set later. */
    public void set(List<ListedInstance> instances, long lagMs) {
        Edition edition = new Edition(lastNumber.incrementAndGet(), List.copyOf(instances));
        if (lagMs == 0) {
            show(edition);
            return;
        }
        timer.after(lagMs, () -> show(edition));
    }

    public List<ListedInstance> visible() {
        return visible.get().instances;
    }

    private void show(Edition edition) {
        visible.updateAndGet(shown -> edition.number > shown.number ? edition : shown);
    }
}
