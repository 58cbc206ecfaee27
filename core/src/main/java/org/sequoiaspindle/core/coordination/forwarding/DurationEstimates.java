package org.sequoiaspindle.core.coordination.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Estimates of durations by name, such as that of a service or a route. Thread-safe. */
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
     * Time that is usually not exceeded, in milliseconds.
     *
     * @param fallback taken while nothing was observed
     */
    public double typicalMaxMillis(String name, double fallback) {
        DurationEstimate current = estimates.get(name);
        return current == null ? fallback : current.typicalMaxMillis();
    }
}
