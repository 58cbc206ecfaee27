package org.sequoiaspindle.core.protocol.request;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.retry.RetryBudget;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.state.RequestId;

/**
 * Dependencies of request execution.
 *
 * @param groups schedulers of the endpoint groups
 * @param endpoints sends calls to endpoints
 * @param spillover sends stages that this data centre cannot run to another one
 * @param retryRule decides on retries
 * @param hedgeRule decides when a slow first attempt is hedged
 * @param budget limits the number of retries and hedges
 * @param clock monotonic clock
 * @param timer runs tasks after a delay
 * @param tracer starts a trace span for each request and attempt
 * @param events receives log events
 * @param ids generates the identifiers of new requests
 * @param summaryConsumer receives a summary of each request that has ended, for metrics
 */
public record RequestDependencies(
        GroupSchedulers groups,
        EndpointCaller endpoints,
        Spillover spillover,
        RetryRule retryRule,
        HedgeRule hedgeRule,
        RetryBudget budget,
        MillisClock clock,
        Timer timer,
        SpanTracer tracer,
        EventLog events,
        Supplier<RequestId> ids,
        Consumer<RequestSummary> summaryConsumer) {}
