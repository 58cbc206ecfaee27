package org.sequoiaspindle.core.state.forwarding;

/** Whether the requests of a route may be retried, and whether the response is a stream. */
public enum RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,
    /** Must be executed at most once for each attempt of a client. */
    NON_IDEMPOTENT,
    /** The response is a stream of events. Retried only if the route allows resumption. */
    STREAM
}
