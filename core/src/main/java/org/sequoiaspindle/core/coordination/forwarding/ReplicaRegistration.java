package org.sequoiaspindle.core.coordination.forwarding;

import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Entry of a replica in the store.
 *
 * @param key key under which it is registered
 * @param revision revision of the store at its last change
 */
public record ReplicaRegistration(String key, long revision, Replica replica) {}
