package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;

/**
 * Selects, by rendezvous hashing, the instance that batches all pieces of a service, so that its
 * calls carry many pieces. Instances with the same list select the same instance. While their lists
 * differ, several instances may batch for a service, which only makes their batches smaller.
 */
public final class BatchingInstanceSelector {

    private BatchingInstanceSelector() {}

    /**
     * Selects one of the reachable instances; empty if there is none.
     *
     * @param reachable whether this instance considers another one reachable
     */
    public static Optional<PeerInstance> select(
            String service, Collection<PeerInstance> instances, Predicate<PeerInstance> reachable) {
        return instances.stream()
                .filter(reachable)
                .max((a, b) -> Long.compareUnsigned(hashRank(service, a), hashRank(service, b)));
    }

    private static long hashRank(String service, PeerInstance instance) {
        return StableHash.of(service, instance.name());
    }
}
