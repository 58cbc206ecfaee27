package org.sequoiaspindle.standins.state;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Options of the service stand-in.
 *
 * @param serviceMs median of the service time, in milliseconds
 * @param sigma standard deviation of the logarithm of the service time, 0 for a fixed time
 */
public record ServiceOptions(EndpointOptions endpointOptions, double serviceMs, double sigma) {

    private static final double DEFAULT_SERVICE_MS = 20;
    private static final Set<String> SERVICE_OPTION_NAMES = Set.of("serviceMs", "sigma");

    /** Returns the names of all options, including the options of every endpoint stand-in. */
    public static Set<String> optionNames() {
        Set<String> names = new HashSet<>(EndpointOptions.OPTION_NAMES);
        names.addAll(SERVICE_OPTION_NAMES);
        return Set.copyOf(names);
    }

    public static ServiceOptions from(OptionValues optionValues) {
        optionValues.requireKnownNames(optionNames());
        return new ServiceOptions(
                EndpointOptions.from(optionValues),
                optionValues.doubleValue("serviceMs", DEFAULT_SERVICE_MS),
                optionValues.doubleValue("sigma", 0));
    }

    /** Reads options by name, such as {@code Map.of("slots", "2", "serviceMs", "1")}. */
    public static ServiceOptions of(Map<String, String> values) {
        return from(new OptionValues(values));
    }
}
