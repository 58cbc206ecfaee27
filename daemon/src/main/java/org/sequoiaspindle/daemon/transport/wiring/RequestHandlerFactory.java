package org.sequoiaspindle.daemon.transport.wiring;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.core.coordination.retry.RetryBudget;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.protocol.claim.ClaimService;
import org.sequoiaspindle.core.protocol.claim.StoreIdempotencyGuard;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.request.HedgeRule;
import org.sequoiaspindle.core.protocol.request.RequestDependencies;
import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.RequestRunner;
import org.sequoiaspindle.core.protocol.request.RequestSummary;
import org.sequoiaspindle.core.protocol.request.SpanTracer;
import org.sequoiaspindle.core.protocol.request.Spillover;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.daemon.state.EntrySettings;

/** Creates the endpoint groups and the request handler of an instance. */
final class RequestHandlerFactory {

    private static final double RETRY_BUDGET_RATIO = 0.1;
    private static final double HEDGE_FACTOR = 3;
    private static final long MIN_HEDGE_DELAY_MS = 50;
    private static final String NAIVE_POLICY = "naive";

    private RequestHandlerFactory() {}

    /** Creates the schedulers of the endpoint groups, with the routing policy of the settings. */
    static GroupSchedulers createGroups(SharedComponents shared) {
        EntrySettings settings = shared.settings();
        return new GroupSchedulers(
                settings.dataCentre(),
                RoutingPolicies.find(settings.policy()).get(),
                shared.clock(),
                shared.timer());
    }

    /**
     * Creates the handler that runs requests.
     *
     * @param instanceShare share of the data centre's limits that this instance may use
     */
    static RequestHandler createHandler(
            SharedComponents shared,
            Store store,
            GroupSchedulers groups,
            EndpointCaller endpointCaller,
            Spillover spillover,
            SpanTracer tracer,
            Consumer<RequestSummary> summaryConsumer,
            DoubleSupplier instanceShare) {
        boolean naive = shared.settings().policy().equals(NAIVE_POLICY);
        RequestDependencies dependencies =
                new RequestDependencies(
                        groups,
                        endpointCaller,
                        spillover,
                        naive ? RetryRule.UNBOUNDED : RetryRule.SAFE,
                        naive
                                ? HedgeRule.NEVER
                                : HedgeRule.afterPredictedTime(HEDGE_FACTOR, MIN_HEDGE_DELAY_MS),
                        new RetryBudget(RETRY_BUDGET_RATIO),
                        shared.clock(),
                        shared.timer(),
                        tracer,
                        shared.events(),
                        requestIds(shared),
                        summaryConsumer);
        ClaimService claims =
                new ClaimService(
                        store,
                        shared.timer(),
                        MillisClock.wall(),
                        shared.clock(),
                        uniqueIds(shared, "claim"),
                        shared.events());
        return new RequestRunner(
                shared.snapshots(),
                dependencies,
                new StoreIdempotencyGuard(claims, shared.timer()),
                instanceShare);
    }

    private static Supplier<RequestId> requestIds(SharedComponents shared) {
        Supplier<String> ids = uniqueIds(shared, "request");
        return () -> new RequestId(ids.get());
    }

    /** Generates ids that are unique across instances and restarts. */
    private static Supplier<String> uniqueIds(SharedComponents shared, String kind) {
        String prefix =
                shared.settings().instance()
                        + "-"
                        + kind.charAt(0)
                        + Long.toString(MillisClock.wall().now(), Character.MAX_RADIX)
                        + "-";
        AtomicLong last = new AtomicLong();
        return () -> prefix + last.incrementAndGet();
    }
}
