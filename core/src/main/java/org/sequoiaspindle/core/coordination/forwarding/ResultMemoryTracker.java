package org.sequoiaspindle.core.coordination.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Space that results take at the replicas of one service, as far as the instance that gathers its
 * pieces knows. A result counts from the sending of its call until it is released or lapses. Space
 * that other instances use, such as the one that gathered before, shows when a replica has no room.
 * Not thread-safe.
 */
public final class ResultMemoryTracker {

    /**
     * Time over which unknown results are expected to be released, in milliseconds; about as long
     * as a request needs a result.
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

    /** Counts the results of a call that is being sent. */
    public void reserve(ReplicaId replica, long bytes) {
        reservedBytes.merge(replica, bytes, Long::sum);
    }

    /** Takes back what was counted for a call that has ended. */
    public void unreserve(ReplicaId replica, long bytes) {
        reservedBytes.merge(replica, -bytes, Long::sum);
    }

    /** Counts a result that exists. */
    public void recordStored(ReplicaId replica, String handle, long bytes, long expiresAt) {
        storedResults
                .computeIfAbsent(replica, id -> new HashMap<>())
                .put(handle, new StoredResult(bytes, expiresAt));
    }

    /** Takes back a result that was given up. */
    public void recordReleased(ReplicaId replica, String handle) {
        Map<String, StoredResult> results = storedResults.get(replica);
        if (results != null) {
            results.remove(handle);
        }
    }

    /** Notes that a replica of the given size had no room for a result. */
    public void recordExhausted(ReplicaId replica, long resultMemoryBytes, long now) {
        untracked.put(
                replica,
                new UntrackedUsage(
                        Math.max(0, resultMemoryBytes - trackedBytes(replica, now)), now));
    }

    /** Bytes in use at a replica. */
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
