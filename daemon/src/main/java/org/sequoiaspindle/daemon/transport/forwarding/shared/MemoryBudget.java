package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.concurrent.atomic.AtomicLong;

/** Limit of the memory that all requests together may use for one purpose. Thread-safe. */
public final class MemoryBudget {

    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    public long limitBytes() {
        return limitBytes;
    }

    /**
     * Reserves memory, which must be released; returns false and reserves none if too little is
     * left.
     */
    public boolean tryReserve(long bytes) {
        long used = usedBytes.addAndGet(bytes);
        if (used > limitBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }
}
