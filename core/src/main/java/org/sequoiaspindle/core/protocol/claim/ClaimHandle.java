package org.sequoiaspindle.core.protocol.claim;

import org.sequoiaspindle.core.coordination.claim.Claim;

/**
 * A claim that this process holds.
 *
 * @param storeKey key of the claim in the store
 * @param version version at which the claim was created
 * @param lease lease that the claim is attached to
 * @param claim stored value
 */
public record ClaimHandle(String storeKey, long version, long lease, Claim claim) {}
