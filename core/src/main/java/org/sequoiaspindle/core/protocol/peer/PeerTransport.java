package org.sequoiaspindle.core.protocol.peer;

/** Opens connections to peers. Thread-safe; does not block. */
@FunctionalInterface
public interface PeerTransport {

    /**
     * Starts to connect to {@code ip:port}. The result is reported as either the opened or the
     * failed event.
     */
    void connect(String address, LinkCallbacks events);
}
