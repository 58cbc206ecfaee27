package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.EnumMap;
import java.util.Map;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryKind;

/** Memory of one connection in the account. Confined to the event loop of the connection. */
public final class ConnectionMemory {

    private final MemoryLedger ledger;
    private final long number;
    private final boolean admitted;
    private final Map<MemoryKind, Long> bytesByKind = new EnumMap<>(MemoryKind.class);

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
        if (!ledger.reserve(number, kind, bytes)) {
            return false;
        }
        bytesByKind.merge(kind, bytes, Long::sum);
        return true;
    }

    /** Adds memory that is in use whatever the account says. */
    public void add(MemoryKind kind, long bytes) {
        bytesByKind.merge(kind, bytes, Long::sum);
        ledger.change(number, kind, bytes);
    }

    public void release(MemoryKind kind, long bytes) {
        if (bytes > 0) {
            bytesByKind.merge(kind, -bytes, Long::sum);
            ledger.change(number, kind, -bytes);
        }
    }

    /** Releases all memory of a kind. */
    public void releaseAll(MemoryKind kind) {
        release(kind, bytesByKind.getOrDefault(kind, 0L));
    }

    /** Records bytes that the client has sent or taken. */
    public void progressed(long bytes) {
        if (bytes > 0) {
            ledger.progressed(number, bytes);
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
