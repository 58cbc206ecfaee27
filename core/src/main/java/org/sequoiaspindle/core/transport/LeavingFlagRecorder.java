package org.sequoiaspindle.core.transport;

import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/** Copies the leaving flags from the responses of endpoints to the membership. Thread-safe. */
public final class LeavingFlagRecorder implements EndpointCaller {

    private final EndpointCaller delegate;
    private final Membership membership;
    private final MillisClock clock;

    public LeavingFlagRecorder(EndpointCaller delegate, Membership membership, MillisClock clock) {
        this.delegate = delegate;
        this.membership = membership;
        this.clock = clock;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        EndpointExchange exchange = delegate.call(call, sink);
        exchange.result()
                .thenAccept(
                        result ->
                                result.load()
                                        .forEach(load -> recordLeavingFlag(call.address(), load)));
        return exchange;
    }

    private void recordLeavingFlag(String address, EndpointLoadReport load) {
        // Most responses change no flag; the condition avoids updates of shared state for such
        // responses.
        if (load.leaving() || membership.leavingEndpoints().isLeaving(address)) {
            membership.updateLeaving(
                    leaving -> leaving.withResponse(address, load.leaving(), clock.now()));
        }
    }
}
