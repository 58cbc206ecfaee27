package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * The handles of the latest results of each replica, by which a late copy of a response is
 * recognised. Not thread-safe.
 */
public final class RecentHandles {

    /** Handles kept for a replica: those of several full calls, any of which may arrive again. */
    static final int MAX_HANDLES = 512;

    /**
     * Responses of a replica of which the first handle is kept. A copy contains all handles of its
     * response, so that one of them suffices to recognise a copy that is older than {@link
     * #MAX_HANDLES}.
     */
    static final int MAX_RESPONSES = 512;

    /** Replicas whose handles are kept; beyond that, all are forgotten. */
    static final int MAX_REPLICAS = 1_024;

    private final Map<ReplicaId, ReplicaHandles> handlesByReplica = new HashMap<>();

    private record ReplicaHandles(Set<String> latest, Set<String> firstOfResponses) {}

    /**
     * Adds the handles of a response.
     *
     * @return false if the replica has returned one of them before
     */
    public boolean addAll(ReplicaId replica, List<String> handles) {
        if (handles.isEmpty()) {
            return true;
        }
        if (handlesByReplica.size() >= MAX_REPLICAS && !handlesByReplica.containsKey(replica)) {
            handlesByReplica.clear();
        }
        ReplicaHandles known =
                handlesByReplica.computeIfAbsent(
                        replica,
                        id -> new ReplicaHandles(new LinkedHashSet<>(), new LinkedHashSet<>()));
        boolean isNew = add(known.firstOfResponses(), handles.get(0), MAX_RESPONSES);
        for (String handle : handles) {
            isNew &= add(known.latest(), handle, MAX_HANDLES);
        }
        return isNew;
    }

    private static boolean add(Set<String> handles, String handle, int maxHandles) {
        if (!handles.add(handle)) {
            return false;
        }
        if (handles.size() > maxHandles) {
            Iterator<String> oldest = handles.iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }
}
