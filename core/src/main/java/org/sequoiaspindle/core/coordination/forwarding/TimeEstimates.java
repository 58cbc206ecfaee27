package org.sequoiaspindle.core.coordination.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Estimates of durations by name, such as that of a service or a route. Thread-safe. */
public final class TimeEstimates {

    private final ConcurrentMap<String, TimeEstimate> estimates = new ConcurrentHashMap<>();

    public void observe(String name, double millis) {
        estimates.compute(
                name,
                (key, known) ->
                        known == null ? TimeEstimate.first(millis) : known.observed(millis));
    }

    /**
     * Time that is usually not exceeded, in milliseconds.
     *
     * @param fallback taken while nothing was observed
     */
    public double usualMillis(String name, double fallback) {
        TimeEstimate known = estimates.get(name);
        return known == null ? fallback : known.usualMillis();
    }
}
