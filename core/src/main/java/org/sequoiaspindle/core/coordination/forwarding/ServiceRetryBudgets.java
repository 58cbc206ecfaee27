package org.sequoiaspindle.core.coordination.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.sequoiaspindle.core.common.MillisClock;

/** The budgets of repeated sends, one a service. Thread-safe. */
public final class ServiceRetryBudgets {

    /** Part of the slack that is handed out; the rest covers instances not seen yet. */
    private static final double MINIMUM_SHARE = 0.8;

    private final Limits limits;
    private final IntSupplier instances;
    private final MillisClock clock;
    private final ConcurrentMap<String, ServiceRetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Limits of all instances together.
     *
     * @param retriesPerRequest repeats per request of a service
     * @param windowMillis span over which they are counted
     * @param minimumRetries repeats in a span besides the ratio
     */
    public record Limits(double retriesPerRequest, long windowMillis, double minimumRetries) {}

    /**
     * Creates full budgets.
     *
     * @param instances number of instances that share the slack
     */
    public ServiceRetryBudgets(Limits limits, IntSupplier instances, MillisClock clock) {
        this.limits = limits;
        this.instances = instances;
        this.clock = clock;
    }

    /** Notes a request for a service. */
    public void recordRequest(String service) {
        budget(service).recordRequest(clock.now());
    }

    /** Takes one repeat; false if this instance's part is used up. */
    public boolean tryRetry(String service) {
        double minimumRetries =
                limits.minimumRetries() * MINIMUM_SHARE / Math.max(1, instances.getAsInt());
        return budget(service).tryRetry(clock.now(), minimumRetries);
    }

    private ServiceRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new ServiceRetryBudget(limits.retriesPerRequest(), limits.windowMillis()));
    }
}
