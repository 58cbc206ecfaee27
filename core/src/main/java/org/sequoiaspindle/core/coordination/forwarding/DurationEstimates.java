package org.sequoiaspindle.core.coordination.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Duration estimates by name, for example the name of a service or route. Thread-safe. */
public final class DurationEstimates {

    private final ConcurrentMap<String, DurationEstimate> estimates = new ConcurrentHashMap<>();

    public void observe(String name, double millis) {
        estimates.compute(
                name,
                (key, current) ->
                        current == null
                                ? DurationEstimate.ofFirst(millis)
                                : current.withObservation(millis));
    }

    /**
     * Time that most observations do not exceed, in milliseconds.
     *
     * @param fallback returned while nothing has been observed
     */
    public double typicalMaxMillis(String name, double fallback) {
        DurationEstimate current = estimates.get(name);
        return current == null ? fallback : current.typicalMaxMillis();
    }
}
