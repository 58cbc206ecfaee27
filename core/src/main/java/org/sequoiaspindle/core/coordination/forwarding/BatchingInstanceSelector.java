package org.sequoiaspindle.core.coordination.forwarding;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.sequoiaspindle.core.state.forwarding.PeerInstance;

/**
 * Chooses the instance that gathers the pieces of a service, so that calls are well filled. All
 * instances choose alike from the same list. While lists differ two instances may gather, which
 * only fills calls less well.
 */
public final class BatchingInstanceSelector {

    private BatchingInstanceSelector() {}

    /**
     * The owner among the reachable instances; empty if there is none.
     *
     * @param reachable whether an instance answers, as far as is known here
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
