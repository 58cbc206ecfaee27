package org.sequoiaspindle.core.coordination.admission;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.state.Organisation;

/**
 * Counts the requests in progress of each organisation and refuses those beyond its share on this
 * instance. Thread-safe, read-copy-update.
 */
public final class OrganisationLimits {

    private final AtomicReference<Map<String, Integer>> inProgress =
            new AtomicReference<>(HashMap.empty());

    /**
     * Takes a place for a request; the caller must {@link #release} it.
     *
     * @param share share of the organisation's limit that this instance has, above 0 to 1
     * @return false if the organisation has no place left here
     */
    public boolean tryAcquire(Organisation organisation, double share) {
        int limit = Math.max(1, (int) Math.ceil(organisation.maxConcurrent() * share));
        Map<String, Integer> before =
                inProgress.getAndUpdate(
                        counts ->
                                held(counts, organisation.name()) < limit
                                        ? counts.put(
                                                organisation.name(),
                                                held(counts, organisation.name()) + 1)
                                        : counts);
        return held(before, organisation.name()) < limit;
    }

    /** Gives a place back. */
    public void release(Organisation organisation) {
        inProgress.updateAndGet(
                counts -> {
                    int left = held(counts, organisation.name()) - 1;
                    return left > 0
                            ? counts.put(organisation.name(), left)
                            : counts.remove(organisation.name());
                });
    }

    private static int held(Map<String, Integer> counts, String organisation) {
        return counts.getOrElse(organisation, 0);
    }
}
