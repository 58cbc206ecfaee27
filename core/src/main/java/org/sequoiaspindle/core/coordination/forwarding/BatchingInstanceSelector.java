package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/**
 * Selects, by rendezvous hashing, the instance that batches all pieces of a service, so that each
 * call carries many pieces. Instances with the same list of instances select the same one. While
 * the lists differ, several instances may batch for a service, which only makes the batches
 * smaller.
 */
public final class BatchingInstanceSelector {

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
        return instances.stream()
                .filter(isReachable)
                .max((a, b) -> Long.compareUnsigned(hashRank(service, a), hashRank(service, b)));
    }

    private static long hashRank(String service, InstanceEntry instance) {
        return StableHash.of(service, instance.name());
    }
}
