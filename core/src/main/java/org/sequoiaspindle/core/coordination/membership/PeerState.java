package org.sequoiaspindle.core.coordination.membership;

/** What an instance says of its own readiness. The order is that of the numbers in messages. */
public enum PeerState {
    STARTING,
    SERVING,
    DRAINING
}
