package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;

/** Sends calls to peers of other data centres, which run them on their endpoints. */
final class CallForwarder implements EndpointCaller {

    /** A call crosses one link at most; peers refuse a higher number. */
    static final int MAX_HOPS = 1;

    private static final CallResult LINK_BROKE =
            new CallResult.Unknown("the link to the peer broke");

    private final PeerLinks links;
    private final AtomicLong correlations = new AtomicLong();
    private final AtomicReference<Map<Long, ForwardedCall>> calls =
            new AtomicReference<>(HashMap.empty());

    CallForwarder(PeerLinks links) {
        this.links = links;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        Option<PeerSession> session = links.establishedAt(call.address());
        if (session.isEmpty()) {
            CallResult notSent = new CallResult.NotSent("no link to " + call.address());
            return new EndpointExchange(CompletableFuture.completedFuture(notSent), () -> {});
        }
        return send(session.get(), call, sink);
    }

    private EndpointExchange send(PeerSession session, EndpointCall call, TokenSink sink) {
        long correlation = correlations.incrementAndGet();
        ForwardedCall forwarded = new ForwardedCall(session, sink);
        calls.updateAndGet(map -> map.put(correlation, forwarded));
        if (!session.send(new PeerMessage.Forward(correlation, MAX_HOPS, call))) {
            complete(correlation, new CallResult.NotSent("the link to the peer took no call"));
        } else if (!links.isOpen(session)) {
            // The link broke before the call was registered, so nobody else ends the call.
            complete(correlation, LINK_BROKE);
        }
        return new EndpointExchange(forwarded.result(), () -> cancel(correlation, session));
    }

    void received(PeerSession session, PeerMessage.ForwardToken message) {
        Option<ForwardedCall> call = find(session, message.correlation());
        if (call.exists(running -> !running.deliver(message.token()))) {
            cancel(message.correlation(), session);
        }
    }

    void received(PeerSession session, PeerMessage.ForwardResult message) {
        find(session, message.correlation())
                .forEach(call -> complete(message.correlation(), message.result()));
    }

    /** Ends the calls on a link that is gone; the peer may have run them. */
    void lost(PeerSession session) {
        calls.get()
                .filterValues(call -> call.session() == session)
                .keySet()
                .forEach(correlation -> complete(correlation, LINK_BROKE));
    }

    private void cancel(long correlation, PeerSession session) {
        if (complete(correlation, new CallResult.Unknown("cancelled"))) {
            session.send(new PeerMessage.Cancel(correlation));
        }
    }

    private Option<ForwardedCall> find(PeerSession session, long correlation) {
        return calls.get().get(correlation).filter(call -> call.session() == session);
    }

    private boolean complete(long correlation, CallResult result) {
        Option<ForwardedCall> call =
                calls.getAndUpdate(map -> map.remove(correlation)).get(correlation);
        call.forEach(running -> running.complete(result));
        return call.isDefined();
    }
}
