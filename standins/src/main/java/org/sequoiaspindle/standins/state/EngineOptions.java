package org.sequoiaspindle.standins.state;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Options of the engine stand-in.
 *
 * @param prefillMsPerKToken prefill time of 1000 input tokens (4000 characters), in milliseconds
 * @param tokenMs time between tokens of a call that runs alone, in milliseconds
 * @param tokenGrowth share by which each further running call lengthens the time between tokens
 * @param cacheBlocks capacity of the prefix cache, in blocks of 256 characters
 */
public record EngineOptions(
        EndpointOptions common,
        double prefillMsPerKToken,
        double tokenMs,
        double tokenGrowth,
        int cacheBlocks) {

    private static final double DEFAULT_PREFILL_MS_PER_K_TOKEN = 100;
    private static final double DEFAULT_TOKEN_MS = 10;
    private static final double DEFAULT_TOKEN_GROWTH = 0.02;
    private static final int DEFAULT_CACHE_BLOCKS = 1024;
    private static final Set<String> OWN_NAMES =
            Set.of("prefillMsPerKToken", "tokenMs", "tokenGrowth", "cacheBlocks");

    /** Names of all options. */
    public static Set<String> names() {
        Set<String> names = new HashSet<>(EndpointOptions.NAMES);
        names.addAll(OWN_NAMES);
        return Set.copyOf(names);
    }

    public static EngineOptions from(Settings settings) {
        settings.allowing(names());
        return new EngineOptions(
                EndpointOptions.from(settings),
                settings.decimal("prefillMsPerKToken", DEFAULT_PREFILL_MS_PER_K_TOKEN),
                settings.decimal("tokenMs", DEFAULT_TOKEN_MS),
                settings.decimal("tokenGrowth", DEFAULT_TOKEN_GROWTH),
                settings.whole("cacheBlocks", DEFAULT_CACHE_BLOCKS));
    }

    /** Reads options by name, such as {@code Map.of("slots", "2", "tokenMs", "1")}. */
    public static EngineOptions of(Map<String, String> values) {
        return from(new Settings(values));
    }
}
