package org.sequoiaspindle.core.coordination.membership;

/** What an instance says of its own readiness. */
public enum PeerState {
    STARTING,
    SERVING,
    DRAINING
}
