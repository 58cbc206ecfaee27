package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiaspindle.core.coordination.forwarding.replica.StableHash;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/**
 * Selects, by rendezvous hashing, the instance that batches all pieces of a service, so that each
 * call carries many pieces. One instance decides for all others, so only those with the most
 * processor time are considered. Instances with the same list of instances select the same one.
 * While the lists differ, several instances may batch for a service, which only makes the batches
 * smaller.
 */
public final class BatchingInstanceSelector {

    /**
     * Processor time from which an instance is considered, as a fraction of that of the strongest
     * one. Below 1, so that the services are spread over several instances.
     */
    private static final double MIN_PROCESSOR_FRACTION = 0.75;

    private BatchingInstanceSelector() {}

    /**
     * Selects one of the reachable instances.
     *
     * @param isReachable returns whether this instance considers another instance reachable
     * @return the selected instance, or empty if none is reachable
     */
    public static Optional<InstanceEntry> select(
            String service,
            Collection<InstanceEntry> instances,
            Predicate<InstanceEntry> isReachable) {
        List<InstanceEntry> reachable = instances.stream().filter(isReachable).toList();
        int strongest =
                reachable.stream().mapToInt(InstanceEntry::processorPercent).max().orElse(0);
        return reachable.stream()
                .filter(i -> i.processorPercent() >= MIN_PROCESSOR_FRACTION * strongest)
                .max((a, b) -> Long.compareUnsigned(hashRank(service, a), hashRank(service, b)));
    }

    private static long hashRank(String service, InstanceEntry instance) {
        return StableHash.of(service, instance.name());
    }
}
