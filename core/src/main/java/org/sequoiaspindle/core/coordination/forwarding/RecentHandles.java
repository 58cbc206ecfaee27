package org.sequoiaspindle.core.coordination.forwarding;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** The handles of the latest results of each replica. Not thread-safe. */
public final class RecentHandles {

    /** Handles kept for a replica: those of several full calls, any of which may arrive again. */
    static final int MAX_HANDLES = 512;

    /** Replicas whose handles are kept; beyond that, all are forgotten. */
    static final int MAX_REPLICAS = 1_024;

    private final Map<ReplicaId, Set<String>> handlesByReplica = new HashMap<>();

    /**
     * Adds a handle.
     *
     * @return false if the replica has returned it before
     */
    public boolean add(ReplicaId replica, String handle) {
        if (handlesByReplica.size() >= MAX_REPLICAS && !handlesByReplica.containsKey(replica)) {
            handlesByReplica.clear();
        }
        Set<String> handles =
                handlesByReplica.computeIfAbsent(replica, id -> new LinkedHashSet<>());
        if (!handles.add(handle)) {
            return false;
        }
        if (handles.size() > MAX_HANDLES) {
            Iterator<String> oldest = handles.iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }
}
