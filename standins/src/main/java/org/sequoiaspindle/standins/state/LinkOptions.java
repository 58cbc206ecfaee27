package org.sequoiaspindle.standins.state;

import java.util.Map;
import java.util.Set;

/**
 * Options of the link stand-in.
 *
 * @param adminPort port that takes orders, 0 for an ephemeral one
 * @param target address {@code ip:port} that bytes are forwarded to
 */
public record LinkOptions(String host, int port, int adminPort, String target) {

    public static final Set<String> NAMES = Set.of("host", "port", "adminPort", "target");

    public LinkOptions {
        if (!target.matches(".+:[0-9]{1,5}")) {
            throw new IllegalArgumentException("target must be ip:port, not " + target);
        }
    }

    public static LinkOptions to(String target) {
        return from(new Settings(Map.of("target", target)));
    }

    public static LinkOptions from(Settings settings) {
        settings.allowing(NAMES);
        return new LinkOptions(
                settings.text("host", EndpointOptions.LOOPBACK),
                settings.whole("port", 0),
                settings.whole("adminPort", 0),
                settings.text("target", ""));
    }
}
