package org.sequoiaspindle.core.coordination.forwarding.piece;

import java.util.HashMap;
import java.util.Map;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Estimates the memory that results occupy at the replicas of one service. It is used by the
 * instance that batches the pieces of the service. A result counts from the time its call is sent
 * until the result is released or expires. Memory used by other instances, such as the previous
 * batching instance, is discovered when a replica reports exhausted memory. Not thread-safe.
 */
public final class ResultMemoryTracker {

    /**
     * Time within which the results of other instances are assumed to be released, in milliseconds;
     * about the time for which a request needs a result.
     */
    private static final long UNTRACKED_RELEASE_MS = 1_000;

    private record StoredResult(long bytes, long expiresAt) {}

    private record UntrackedUsage(long bytes, long observedAt) {

        long remaining(long now) {
            return bytes
                    * Math.max(0, UNTRACKED_RELEASE_MS - (now - observedAt))
                    / UNTRACKED_RELEASE_MS;
        }
    }

    private final Map<ReplicaId, Map<String, StoredResult>> storedResults = new HashMap<>();
    private final Map<ReplicaId, Long> reservedBytes = new HashMap<>();
    private final Map<ReplicaId, UntrackedUsage> untracked = new HashMap<>();

    /** Reserves memory for the results of a call that is being sent. */
    public void reserve(ReplicaId replica, long bytes) {
        reservedBytes.merge(replica, bytes, Long::sum);
    }

    /** Cancels the reservation of a call that has ended. */
    public void unreserve(ReplicaId replica, long bytes) {
        reservedBytes.merge(replica, -bytes, Long::sum);
    }

    /** Records a result that the replica stores until {@code expiresAt}. */
    public void recordStored(ReplicaId replica, String handle, long bytes, long expiresAt) {
        storedResults
                .computeIfAbsent(replica, id -> new HashMap<>())
                .put(handle, new StoredResult(bytes, expiresAt));
    }

    /** Records that a result was released. */
    public void recordReleased(ReplicaId replica, String handle) {
        Map<String, StoredResult> results = storedResults.get(replica);
        if (results != null) {
            results.remove(handle);
        }
    }

    /** Records that a replica with the given amount of memory had none left for a result. */
    public void recordExhausted(ReplicaId replica, long resultMemoryBytes, long now) {
        untracked.put(
                replica,
                new UntrackedUsage(
                        Math.max(0, resultMemoryBytes - trackedBytes(replica, now)), now));
    }

    /** Returns the estimated number of bytes in use at a replica. */
    public long usedBytes(ReplicaId replica, long now) {
        UntrackedUsage untrackedUsage = untracked.get(replica);
        return trackedBytes(replica, now)
                + (untrackedUsage == null ? 0 : untrackedUsage.remaining(now));
    }

    private long trackedBytes(ReplicaId replica, long now) {
        Map<String, StoredResult> results = storedResults.getOrDefault(replica, new HashMap<>());
        results.values().removeIf(result -> result.expiresAt() <= now);
        long stored = results.values().stream().mapToLong(StoredResult::bytes).sum();
        return stored + reservedBytes.getOrDefault(replica, 0L);
    }
}
