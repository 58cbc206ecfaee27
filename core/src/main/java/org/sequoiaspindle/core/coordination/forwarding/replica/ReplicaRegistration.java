package org.sequoiaspindle.core.coordination.forwarding.replica;

import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Registration of a replica in the store.
 *
 * @param key key of the entry in the store
 * @param revision store revision at which the entry last changed
 */
public record ReplicaRegistration(String key, long revision, Replica replica) {}
