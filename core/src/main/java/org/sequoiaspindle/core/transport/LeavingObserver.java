package org.sequoiaspindle.core.transport;

import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.LoadReport;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/** Passes on what endpoints say in their answers about leaving. Thread-safe. */
public final class LeavingObserver implements EndpointCaller {

    private final EndpointCaller next;
    private final Membership membership;
    private final MillisClock clock;

    public LeavingObserver(EndpointCaller next, Membership membership, MillisClock clock) {
        this.next = next;
        this.membership = membership;
        this.clock = clock;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        EndpointExchange exchange = next.call(call, sink);
        exchange.result()
                .thenAccept(result -> result.load().forEach(load -> note(call.address(), load)));
        return exchange;
    }

    private void note(String address, LoadReport load) {
        // Most answers say nothing new; the test spares them the replacement of shared state.
        if (load.leaving() || membership.leaving().isLeaving(address)) {
            membership.updateLeaving(
                    leaving -> leaving.withAnswer(address, load.leaving(), clock.now()));
        }
    }
}
