package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Duration estimates by name, for example the name of a service or route. Thread-safe. */
public final class DurationEstimates {

    private final ConcurrentMap<String, DurationEstimate> estimates = new ConcurrentHashMap<>();

    public void observe(String name, double millis) {
        estimates.compute(
                name,
                (key, estimate) ->
                        estimate == null
                                ? DurationEstimate.ofFirst(millis)
                                : estimate.withObservation(millis));
    }

    /**
     * Returns the time that most observations do not exceed, in milliseconds.
     *
     * @param fallback returned while nothing has been observed
     */
    public double typicalMaxMillis(String name, double fallback) {
        DurationEstimate estimate = estimates.get(name);
        return estimate == null ? fallback : estimate.typicalMaxMillis();
    }
}
