package org.sequoiaspindle.standins.state;

import java.util.List;
import java.util.Set;

/**
 * Options of the stand-in for callers on the users' platform.
 *
 * @param targets addresses {@code ip:port} of instances, which get the requests in turn
 * @param requestsPerSecond rate of all requests together
 * @param seconds time for which requests are sent
 */
public record CallerOptions(List<String> targets, int requestsPerSecond, int seconds) {

    public static final Set<String> OPTION_NAMES = Set.of("targets", "rate", "seconds");

    private static final int DEFAULT_RATE = 20;
    private static final int DEFAULT_SECONDS = 10;

    public CallerOptions {
        targets = List.copyOf(targets);
        if (targets.isEmpty() || !targets.stream().allMatch(t -> t.matches(".+:[0-9]{1,5}"))) {
            throw new IllegalArgumentException("targets must be ip:port,..., not " + targets);
        }
        if (requestsPerSecond < 1 || seconds < 1) {
            throw new IllegalArgumentException("rate and seconds must be at least 1");
        }
    }

    public static CallerOptions from(OptionValues optionValues) {
        optionValues.requireKnownNames(OPTION_NAMES);
        return new CallerOptions(
                List.of(optionValues.stringValue("targets", "").split(",")),
                optionValues.intValue("rate", DEFAULT_RATE),
                optionValues.intValue("seconds", DEFAULT_SECONDS));
    }
}
