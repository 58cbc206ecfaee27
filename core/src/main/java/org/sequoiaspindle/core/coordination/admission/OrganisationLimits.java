package org.sequoiaspindle.core.coordination.admission;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.state.Organisation;

/**
 * Limits the concurrent requests of each organisation to this instance's share of the
 * organisation's limit. Thread-safe (read-copy-update).
 */
public final class OrganisationLimits {

    private final AtomicReference<Map<String, Integer>> inProgress =
            new AtomicReference<>(HashMap.empty());

    /**
     * Counts a request as in progress if the limit allows it. The caller must {@link #release} it.
     *
     * @param share share of the organisation's limit that this instance has; above 0, at most 1
     * @return false if the organisation has reached its limit on this instance
     */
    public boolean tryAcquire(Organisation organisation, double share) {
        int limit = Math.max(1, (int) Math.ceil(organisation.maxConcurrent() * share));
        Map<String, Integer> countsBefore =
                inProgress.getAndUpdate(
                        counts ->
                                countOf(counts, organisation.name()) < limit
                                        ? counts.put(
                                                organisation.name(),
                                                countOf(counts, organisation.name()) + 1)
                                        : counts);
        return countOf(countsBefore, organisation.name()) < limit;
    }

    /** Counts a request as ended. */
    public void release(Organisation organisation) {
        inProgress.updateAndGet(
                counts -> {
                    int remainingRequests = countOf(counts, organisation.name()) - 1;
                    return remainingRequests > 0
                            ? counts.put(organisation.name(), remainingRequests)
                            : counts.remove(organisation.name());
                });
    }

    private static int countOf(Map<String, Integer> counts, String organisation) {
        return counts.getOrElse(organisation, 0);
    }
}
