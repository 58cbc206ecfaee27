package org.sequoiaspindle.standins.state;

import java.util.Set;

/**
 * Options common to all endpoint stand-ins.
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for an ephemeral port
 * @param slots maximum number of calls that run concurrently
 * @param queueLimit maximum number of calls that wait for a slot
 * @param loadLagMs delay until a change of the load appears in responses, in milliseconds
 * @param seed seed of the random service times and of the random choice of calls affected by a
 *     fault
 */
public record EndpointOptions(
        String host, int port, int slots, int queueLimit, long loadLagMs, long seed) {

    public static final Set<String> OPTION_NAMES =
            Set.of("host", "port", "slots", "queueLimit", "loadLagMs", "seed");
    public static final String LOOPBACK_ADDRESS = "127.0.0.1";

    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_QUEUE_LIMIT = 64;
    private static final long DEFAULT_LOAD_LAG_MS = 500;

    public EndpointOptions {
        if (slots < 1 || queueLimit < 0 || loadLagMs < 0) {
            throw new IllegalArgumentException(
                    "slots must be at least 1, queueLimit and loadLagMs at least 0");
        }
    }

    public static EndpointOptions from(OptionValues optionValues) {
        return new EndpointOptions(
                optionValues.stringValue("host", LOOPBACK_ADDRESS),
                optionValues.intValue("port", 0),
                optionValues.intValue("slots", DEFAULT_SLOTS),
                optionValues.intValue("queueLimit", DEFAULT_QUEUE_LIMIT),
                optionValues.longValue("loadLagMs", DEFAULT_LOAD_LAG_MS),
                optionValues.longValue("seed", 1));
    }
}
