package org.sequoiaspindle.standins.state;

import java.util.Map;
import java.util.Set;

/**
 * Options of the link stand-in, a TCP proxy.
 *
 * @param adminPort port for admin commands, 0 for an ephemeral port
 * @param target address {@code ip:port} to which connections are forwarded
 */
public record LinkOptions(String host, int port, int adminPort, String target) {

    public static final Set<String> OPTION_NAMES = Set.of("host", "port", "adminPort", "target");

    public LinkOptions {
        if (!target.matches(".+:[0-9]{1,5}")) {
            throw new IllegalArgumentException("target must be ip:port, not " + target);
        }
    }

    public static LinkOptions forTarget(String target) {
        return from(new OptionValues(Map.of("target", target)));
    }

    public static LinkOptions from(OptionValues optionValues) {
        optionValues.requireKnownNames(OPTION_NAMES);
        return new LinkOptions(
                optionValues.stringValue("host", EndpointOptions.LOOPBACK_ADDRESS),
                optionValues.intValue("port", 0),
                optionValues.intValue("adminPort", 0),
                optionValues.stringValue("target", ""));
    }
}
