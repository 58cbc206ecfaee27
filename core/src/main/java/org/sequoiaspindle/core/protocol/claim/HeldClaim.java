package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.coordination.claim.Claim;

/**
 * A claim that this process has written to the store.
 *
 * @param storeKey key of the claim in the store
 * @param version version at which the claim was created
 * @param lease identifier of the lease that the claim is attached to
 * @param claim stored value
 */
public record HeldClaim(String storeKey, long version, long lease, Claim claim) {}
