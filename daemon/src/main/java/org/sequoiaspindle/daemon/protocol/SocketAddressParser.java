package org.sequoiaspindle.daemon.protocol;

import io.netty.util.NetUtil;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Parses socket addresses of the form {@code ip:port}. Host names are rejected, as resolving them
 * may block.
 */
public final class SocketAddressParser {

    private static final int MAX_PORT = 65_535;

    private SocketAddressParser() {}

    /** Parses an address; returns none if it is malformed. IPv6 addresses must be in brackets. */
    public static Option<InetSocketAddress> parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return Option.none();
        }
        String host = address.substring(0, colon);
        if (host.indexOf(':') >= 0 && !host.startsWith("[")) {
            return Option.none();
        }
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(host);
        return Option.of(ip)
                .flatMap(
                        bytes ->
                                Try.of(() -> Integer.parseInt(address.substring(colon + 1)))
                                        .filter(port -> port > 0 && port <= MAX_PORT)
                                        .mapTry(
                                                port ->
                                                        new InetSocketAddress(
                                                                InetAddress.getByAddress(bytes),
                                                                port))
                                        .toOption());
    }
}
