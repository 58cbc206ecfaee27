package org.sequoiaspindle.standins.state;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Options of the engine stand-in.
 *
 * @param prefillMsPerKToken prefill time of 1000 input tokens (4000 characters), in milliseconds
 * @param tokenMs time between tokens while only one call runs, in milliseconds
 * @param tokenGrowth fraction of {@code tokenMs} that each additional running call adds to the time
 *     between tokens
 * @param cacheBlocks capacity of the prefix cache, in blocks of 256 characters
 */
public record EngineOptions(
        EndpointOptions endpointOptions,
        double prefillMsPerKToken,
        double tokenMs,
        double tokenGrowth,
        int cacheBlocks) {

    private static final double DEFAULT_PREFILL_MS_PER_K_TOKEN = 100;
    private static final double DEFAULT_TOKEN_MS = 10;
    private static final double DEFAULT_TOKEN_GROWTH = 0.02;
    private static final int DEFAULT_CACHE_BLOCKS = 1024;
    private static final Set<String> ENGINE_OPTION_NAMES =
            Set.of("prefillMsPerKToken", "tokenMs", "tokenGrowth", "cacheBlocks");

    /** Returns the names of all options, including the options of every endpoint stand-in. */
    public static Set<String> optionNames() {
        Set<String> names = new HashSet<>(EndpointOptions.OPTION_NAMES);
        names.addAll(ENGINE_OPTION_NAMES);
        return Set.copyOf(names);
    }

    public static EngineOptions from(OptionValues optionValues) {
        optionValues.requireKnownNames(optionNames());
        return new EngineOptions(
                EndpointOptions.from(optionValues),
                optionValues.doubleValue("prefillMsPerKToken", DEFAULT_PREFILL_MS_PER_K_TOKEN),
                optionValues.doubleValue("tokenMs", DEFAULT_TOKEN_MS),
                optionValues.doubleValue("tokenGrowth", DEFAULT_TOKEN_GROWTH),
                optionValues.intValue("cacheBlocks", DEFAULT_CACHE_BLOCKS));
    }

    /** Reads options by name, such as {@code Map.of("slots", "2", "tokenMs", "1")}. */
    public static EngineOptions of(Map<String, String> values) {
        return from(new OptionValues(values));
    }
}
