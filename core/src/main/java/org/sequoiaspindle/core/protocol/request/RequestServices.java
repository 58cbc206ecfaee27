package org.sequoiaspindle.core.protocol.request;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.retry.RetryBudget;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.core.coordination.routing.Groups;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.state.RequestId;

/**
 * What running a request takes.
 *
 * @param groups schedulers of the endpoint groups
 * @param endpoints sends calls to endpoints
 * @param spillover where stages go that this data centre refuses
 * @param retryRule decides on further attempts
 * @param hedgeRule decides when a second attempt runs beside a slow first one
 * @param budget bounds extra attempts
 * @param clock monotonic clock
 * @param timer runs tasks at deadlines
 * @param tracer starts a span for each attempt
 * @param events receives log events
 * @param ids gives identifiers for new requests
 * @param records receives each ended request, for metrics
 */
public record RequestServices(
        Groups groups,
        EndpointCaller endpoints,
        Spillover spillover,
        RetryRule retryRule,
        HedgeRule hedgeRule,
        RetryBudget budget,
        MillisClock clock,
        Timer timer,
        HopTracer tracer,
        EventLog events,
        Supplier<RequestId> ids,
        Consumer<RequestRecord> records) {}
