package org.sequoiaspindle.core.coordination.forwarding.permit;

import java.util.Collection;
import org.sequoiaspindle.core.coordination.forwarding.replica.StableHash;

/**
 * Decides which instance tries to become the issuer of permits for a replica, and when. Only the
 * number of writes depends on it: the store lets at most one instance succeed.
 */
public final class IssuerElection {

    /**
     * Time by which each further instance waits longer, in milliseconds. Normally the successful
     * claim of the instance before is known by then: a write takes a few milliseconds and a shared
     * watch collects changes for a quarter of a second.
     */
    public static final long STEP_MS = 400;

    private IssuerElection() {}

    /**
     * Returns whether an instance should claim the role.
     *
     * @param instances names of the known instances
     * @param unclaimedMillis time for which the replica has been cold without a known issuer
     */
    public static boolean shouldClaim(
            String self, Collection<String> instances, String replica, long unclaimedMillis) {
        long ownRank = StableHash.of(replica, self);
        long before =
                instances.stream()
                        .filter(name -> !name.equals(self))
                        .filter(
                                name ->
                                        Long.compareUnsigned(StableHash.of(replica, name), ownRank)
                                                > 0)
                        .count();
        return unclaimedMillis >= before * STEP_MS;
    }
}
