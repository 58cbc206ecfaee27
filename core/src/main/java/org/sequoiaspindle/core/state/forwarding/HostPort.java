package org.sequoiaspindle.core.state.forwarding;

/**
 * Address of a listening socket.
 *
 * @param host numeric IP address
 * @param port 1 to 65535
 */
public record HostPort(String host, int port) {

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
