package org.sequoiaspindle.core.coordination.forwarding.memory;

/** Derives the limits of the memory account from those of the process. */
public final class MemoryPlan {

    /**
     * Part of the heap for connections, as a divisor. The other half covers the registry, the log,
     * the code and what the collector has not freed yet.
     */
    private static final long HEAP_PART = 2;

    /** Least part of the heap that is used if the machine has too little memory, as a divisor. */
    private static final long MIN_HEAP_PART = 8;

    /** Part of the descriptors for client connections; each may need another one to an endpoint. */
    private static final long DESCRIPTOR_PART = 2;

    private MemoryPlan() {}

    /**
     * Returns the limits for client connections.
     *
     * @param machineBytes memory of the machine that traffic may use, 0 if it is not limited
     * @param heapBytes largest heap of the process
     * @param descriptors largest number of open descriptors of the process
     */
    public static MemoryAccount.Limits clients(
            long machineBytes, long heapBytes, long descriptors) {
        long share = heapBytes / HEAP_PART;
        long budget =
                machineBytes == 0
                        ? share
                        : Math.max(heapBytes / MIN_HEAP_PART, Math.min(share, machineBytes));
        return new MemoryAccount.Limits(
                budget, (int) Math.min(Integer.MAX_VALUE, descriptors / DESCRIPTOR_PART));
    }
}
