package org.sequoiaspindle.core.state.forwarding;

/** Whether the requests of a route may be retried, and how they are answered. */
public enum RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,
    /** Must be executed at most once for each attempt of a client. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; retried only if the route allows resumption. */
    STREAM
}
