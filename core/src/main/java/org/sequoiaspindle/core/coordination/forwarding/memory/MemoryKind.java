package org.sequoiaspindle.core.coordination.forwarding.memory;

/** What bytes in the memory of the process belong to. */
public enum MemoryKind {
    /** Heads of requests that are received or in progress. */
    HEADS,
    /** Bodies of requests that are received or in progress. */
    BODIES,
    /** Requests that wait behind the active one of their connection. */
    REQUESTS_AHEAD,
    /** Responses of endpoints that are collected until they are complete. */
    ENDPOINT_RESPONSES,
    /** Responses that clients have not taken yet. */
    ANSWERS
}
