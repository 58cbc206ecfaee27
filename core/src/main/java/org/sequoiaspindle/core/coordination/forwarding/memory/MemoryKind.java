package org.sequoiaspindle.core.coordination.forwarding.memory;

/** What bytes in the memory of the process belong to. */
public enum MemoryKind {
    /** Heads of requests that are received or in progress. */
    HEADS(Long.MAX_VALUE),
    /** Bodies of requests that are received or in progress. */
    BODIES(Long.MAX_VALUE),
    /** Requests that wait behind the active one of their connection. */
    REQUESTS_AHEAD(Long.MAX_VALUE),
    /**
     * Responses of endpoints that are collected until they are complete. Beyond 16 MiB, each byte
     * counted twice, successes are passed on as they arrive, and failures are given up.
     */
    ENDPOINT_RESPONSES(32L * 1024 * 1024),
    /** Responses that clients have not taken yet. */
    ANSWERS(Long.MAX_VALUE);

    private final long maxBytes;

    MemoryKind(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the most that may be reserved for the kind, whatever the budget. */
    long maxBytes() {
        return maxBytes;
    }
}
