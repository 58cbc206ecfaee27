package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.EnumMap;
import java.util.Map;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;

/** Memory of one connection in the account. Confined to the event loop of the connection. */
public final class ConnectionMemory {

    /**
     * Memory that the place of a connection covers, in bytes. Most requests need no more, so that
     * they change the account only when they start and end.
     */
    static final long COVERED_BYTES = 16 * 1024;

    /** Progress that is passed on at once, in bytes; less makes no client steady. */
    private static final long PROGRESS_BYTES = 1_024;

    private final MemoryLedger ledger;
    private final long number;
    private final boolean admitted;
    private final Map<MemoryKind, Long> bytesByKind = new EnumMap<>(MemoryKind.class);

    /** Memory that the account knows beyond what the place covers. */
    private final Map<MemoryKind, Long> countedByKind = new EnumMap<>(MemoryKind.class);

    private long coveredKindsBytes;
    private long countedBytes;
    private long unreportedProgress;

    ConnectionMemory(MemoryLedger ledger, long number, boolean admitted) {
        this.ledger = ledger;
        this.number = number;
        this.admitted = admitted;
    }

    /** Returns whether the process has a place for the connection. */
    public boolean isAdmitted() {
        return admitted;
    }

    /** Reserves memory; returns false and reserves none if there is too little. */
    public boolean reserve(MemoryKind kind, long bytes) {
        long uncovered = uncoveredPart(kind, bytes);
        if (uncovered > 0 && !ledger.reserve(number, kind, uncovered)) {
            return false;
        }
        count(kind, bytes, uncovered);
        return true;
    }

    /** Adds memory that is in use whatever the account says. */
    public void add(MemoryKind kind, long bytes) {
        long uncovered = uncoveredPart(kind, bytes);
        if (uncovered > 0) {
            ledger.change(number, kind, uncovered);
        }
        count(kind, bytes, uncovered);
    }

    public void release(MemoryKind kind, long bytes) {
        if (bytes <= 0) {
            return;
        }
        bytesByKind.merge(kind, -bytes, Long::sum);
        if (!isCovered(kind)) {
            ledger.change(number, kind, -bytes);
            return;
        }
        coveredKindsBytes -= bytes;
        uncount(kind);
        for (MemoryKind other : MemoryKind.values()) {
            uncount(other);
        }
    }

    /** Returns how many more bytes the account has to count. */
    private long uncoveredPart(MemoryKind kind, long bytes) {
        return isCovered(kind) ? uncovered(coveredKindsBytes + bytes) - countedBytes : bytes;
    }

    private static long uncovered(long bytes) {
        return Math.max(0, bytes - COVERED_BYTES);
    }

    /**
     * Returns whether a place covers the kind; responses of endpoints have a total of their own.
     */
    private static boolean isCovered(MemoryKind kind) {
        return kind != MemoryKind.ENDPOINT_RESPONSES;
    }

    private void count(MemoryKind kind, long bytes, long uncovered) {
        bytesByKind.merge(kind, bytes, Long::sum);
        if (!isCovered(kind)) {
            return;
        }
        coveredKindsBytes += bytes;
        if (uncovered > 0) {
            countedBytes += uncovered;
            countedByKind.merge(kind, uncovered, Long::sum);
        }
    }

    /** Takes from the account what the place covers again, as far as it is of this kind. */
    private void uncount(MemoryKind kind) {
        long surplus = countedBytes - uncovered(coveredKindsBytes);
        long freed = Math.min(surplus, countedByKind.getOrDefault(kind, 0L));
        if (freed > 0) {
            countedBytes -= freed;
            countedByKind.merge(kind, -freed, Long::sum);
            ledger.change(number, kind, -freed);
        }
    }

    /** Releases all memory of a kind. */
    public void releaseAll(MemoryKind kind) {
        release(kind, bytesByKind.getOrDefault(kind, 0L));
    }

    /** Records bytes that the client has sent or taken. */
    public void progressed(long bytes) {
        unreportedProgress += bytes;
        if (unreportedProgress >= PROGRESS_BYTES) {
            ledger.progressed(number, unreportedProgress);
            unreportedProgress = 0;
        }
    }

    /** Records whether the process waits for the client. */
    public void waitForClient(boolean waits) {
        ledger.waitForClient(number, waits);
    }

    /** Records that the connection is closed because its client does not read the answer. */
    public void recordUnread(long bytes) {
        ledger.recordUnread(bytes);
    }

    /** Removes the connection from the account. */
    public void close() {
        ledger.close(number);
    }
}
