package org.sequoiaspindle.core.state.forwarding;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Address of a listening socket.
 *
 * @param host numeric IP address
 * @param port 1 to 65535
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

    /** Returns the address, or empty if the values are not an IPv4 address and a port. */
    public static Optional<HostPort> ofIpv4(String host, long port) {
        return IPV4.matcher(host).matches() && port >= 1 && port <= MAX_PORT
                ? Optional.of(new HostPort(host, (int) port))
                : Optional.empty();
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
