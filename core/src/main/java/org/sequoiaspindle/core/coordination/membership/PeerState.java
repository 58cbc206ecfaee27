package org.sequoiaspindle.core.coordination.membership;

/** Readiness of an instance. Messages contain the ordinal, so the order must not change. */
public enum PeerState {
    STARTING,
    SERVING,
    DRAINING
}
