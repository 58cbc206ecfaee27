package org.sequoiaspindle.standins.state;

import java.util.Set;

/**
 * Options of the platform stand-in.
 *
 * @param lagMs time until a new instance list becomes visible, in milliseconds
 */
public record PlatformOptions(String host, int port, long lagMs) {

    public static final Set<String> NAMES = Set.of("host", "port", "lagMs");

    public static PlatformOptions defaults() {
        return from(Settings.none());
    }

    public static PlatformOptions from(Settings settings) {
        settings.allowing(NAMES);
        return new PlatformOptions(
                settings.text("host", EndpointOptions.LOOPBACK),
                settings.whole("port", 0),
                settings.wholeLong("lagMs", 0));
    }
}
