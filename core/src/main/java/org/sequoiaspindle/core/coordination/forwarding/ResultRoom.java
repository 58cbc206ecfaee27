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
public final class ResultRoom {

    /**
     * Time over which unknown results are expected to be released, in milliseconds; about as long
     * as a request needs a result.
     */
    private static final long UNKNOWN_MS = 1_000;

    private record Held(long bytes, long lapsesAt) {}

    private record Unknown(long bytes, long seenAt) {

        long remaining(long now) {
            return bytes * Math.max(0, UNKNOWN_MS - (now - seenAt)) / UNKNOWN_MS;
        }
    }

    private final Map<ReplicaId, Map<String, Held>> held = new HashMap<>();
    private final Map<ReplicaId, Long> reserved = new HashMap<>();
    private final Map<ReplicaId, Unknown> unknown = new HashMap<>();

    /** Counts the results of a call that is being sent. */
    public void reserve(ReplicaId replica, long bytes) {
        reserved.merge(replica, bytes, Long::sum);
    }

    /** Takes back what was counted for a call that has ended. */
    public void unreserve(ReplicaId replica, long bytes) {
        reserved.merge(replica, -bytes, Long::sum);
    }

    /** Counts a result that exists. */
    public void made(ReplicaId replica, String handle, long bytes, long lapsesAt) {
        held.computeIfAbsent(replica, id -> new HashMap<>()).put(handle, new Held(bytes, lapsesAt));
    }

    /** Takes back a result that was given up. */
    public void released(ReplicaId replica, String handle) {
        Map<String, Held> results = held.get(replica);
        if (results != null) {
            results.remove(handle);
        }
    }

    /** Notes that a replica of the given size had no room for a result. */
    public void exhausted(ReplicaId replica, long roomBytes, long now) {
        unknown.put(replica, new Unknown(Math.max(0, roomBytes - knownBytes(replica, now)), now));
    }

    /** Bytes in use at a replica. */
    public long usedBytes(ReplicaId replica, long now) {
        Unknown others = unknown.get(replica);
        return knownBytes(replica, now) + (others == null ? 0 : others.remaining(now));
    }

    private long knownBytes(ReplicaId replica, long now) {
        Map<String, Held> results = held.getOrDefault(replica, new HashMap<>());
        results.values().removeIf(result -> result.lapsesAt() <= now);
        long made = results.values().stream().mapToLong(Held::bytes).sum();
        return made + reserved.getOrDefault(replica, 0L);
    }
}
