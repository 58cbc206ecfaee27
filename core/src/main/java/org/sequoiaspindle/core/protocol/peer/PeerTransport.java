package org.sequoiaspindle.core.protocol.peer;

/** Opens connections to peers. Thread-safe; does not block. */
@FunctionalInterface
public interface PeerTransport {

    /** Starts to connect to {@code ip:port}; either opened or failed follows. */
    void connect(String address, LinkEvents events);
}
