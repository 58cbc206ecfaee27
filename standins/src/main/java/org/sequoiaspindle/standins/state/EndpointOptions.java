package org.sequoiaspindle.standins.state;

import java.util.Set;

/**
 * Options that all endpoint stand-ins share.
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for an ephemeral one
 * @param slots calls that run at once
 * @param queueLimit calls that may wait for a slot
 * @param loadLagMs age of the load that answers report, in milliseconds
 * @param seed seed of the draws of service times and of calls hit by a fault
 */
public record EndpointOptions(
        String host, int port, int slots, int queueLimit, long loadLagMs, long seed) {

    public static final Set<String> NAMES =
            Set.of("host", "port", "slots", "queueLimit", "loadLagMs", "seed");
    public static final String LOOPBACK = "127.0.0.1";

    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_QUEUE_LIMIT = 64;
    private static final long DEFAULT_LOAD_LAG_MS = 500;

    public EndpointOptions {
        if (slots < 1 || queueLimit < 0 || loadLagMs < 0) {
            throw new IllegalArgumentException(
                    "slots must be at least 1, queueLimit and loadLagMs at least 0");
        }
    }

    public static EndpointOptions from(Settings settings) {
        return new EndpointOptions(
                settings.text("host", LOOPBACK),
                settings.whole("port", 0),
                settings.whole("slots", DEFAULT_SLOTS),
                settings.whole("queueLimit", DEFAULT_QUEUE_LIMIT),
                settings.wholeLong("loadLagMs", DEFAULT_LOAD_LAG_MS),
                settings.wholeLong("seed", 1));
    }
}
