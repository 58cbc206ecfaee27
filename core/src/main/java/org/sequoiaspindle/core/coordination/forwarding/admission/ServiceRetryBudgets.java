package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.sequoiaspindle.core.common.MillisClock;

/** The retry budgets of all services. Thread-safe. */
public final class ServiceRetryBudgets {

    /** Fraction of the allowance that is divided; the rest covers instances not discovered yet. */
    private static final double ALLOWANCE_FRACTION = 0.8;

    private final Limits limits;
    private final IntSupplier instanceCount;
    private final MillisClock clock;
    private final ConcurrentMap<String, ServiceRetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Limits for all instances together.
     *
     * @param retriesPerRequest retries allowed for each request to a service
     * @param windowMillis length of the sliding window
     * @param additionalRetries retries allowed in a window in addition to those earned by requests
     */
    public record Limits(double retriesPerRequest, long windowMillis, double additionalRetries) {}

    /**
     * Creates budgets that have not been used.
     *
     * @param instanceCount number of instances among which the additional allowance is divided
     */
    public ServiceRetryBudgets(Limits limits, IntSupplier instanceCount, MillisClock clock) {
        this.limits = limits;
        this.instanceCount = instanceCount;
        this.clock = clock;
    }

    /** Records a request to a service. */
    public void recordRequest(String service) {
        budget(service).recordRequest(clock.now());
    }

    /**
     * Consumes one retry from this instance's budget for the service.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryRetry(String service) {
        double additionalRetries =
                limits.additionalRetries()
                        * ALLOWANCE_FRACTION
                        / Math.max(1, instanceCount.getAsInt());
        return budget(service).tryRetry(clock.now(), additionalRetries);
    }

    private ServiceRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new ServiceRetryBudget(limits.retriesPerRequest(), limits.windowMillis()));
    }
}
