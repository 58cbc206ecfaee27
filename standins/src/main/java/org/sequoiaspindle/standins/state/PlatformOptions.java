package org.sequoiaspindle.standins.state;

import java.util.Set;

/**
 * Options of the platform stand-in.
 *
 * @param lagMs delay until a new instance list becomes visible, in milliseconds
 */
public record PlatformOptions(String host, int port, long lagMs) {

    public static final Set<String> OPTION_NAMES = Set.of("host", "port", "lagMs");

    public static PlatformOptions defaults() {
        return from(OptionValues.none());
    }

    public static PlatformOptions from(OptionValues optionValues) {
        optionValues.requireKnownNames(OPTION_NAMES);
        return new PlatformOptions(
                optionValues.stringValue("host", EndpointOptions.LOOPBACK_ADDRESS),
                optionValues.intValue("port", 0),
                optionValues.longValue("lagMs", 0));
    }
}
