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

/**
 * Forwards calls to peers in other data centres, which run the calls on endpoints of their data
 * centres.
 */
final class CallForwarder implements EndpointCaller {

    /**
     * Maximum number of links that a call crosses. Peers refuse calls with a higher number of hops.
     */
    static final int MAX_HOPS = 1;

    private static final CallResult LINK_CLOSED =
            new CallResult.Unknown("the link to the peer closed before the result arrived");

    private final PeerLinkManager links;
    private final AtomicLong lastCorrelation = new AtomicLong();
    private final AtomicReference<Map<Long, OutgoingCall>> callsInFlight =
            new AtomicReference<>(HashMap.empty());

    CallForwarder(PeerLinkManager links) {
        this.links = links;
    }

    @Override
    public EndpointExchange call(EndpointCall call, TokenSink sink) {
        Option<PeerSession> session = links.findEstablishedSession(call.address());
        if (session.isEmpty()) {
            CallResult notSent = new CallResult.NotSent("no link to peer " + call.address());
            return new EndpointExchange(CompletableFuture.completedFuture(notSent), () -> {});
        }
        return send(session.get(), call, sink);
    }

    private EndpointExchange send(PeerSession session, EndpointCall call, TokenSink sink) {
        long correlation = lastCorrelation.incrementAndGet();
        OutgoingCall outgoingCall = new OutgoingCall(session, sink);
        callsInFlight.updateAndGet(map -> map.put(correlation, outgoingCall));
        if (!session.send(new PeerMessage.Forward(correlation, MAX_HOPS, call))) {
            complete(
                    correlation,
                    new CallResult.NotSent("the call could not be sent on the link to the peer"));
        } else if (!links.isOpen(session)) {
            // The link closed before the call was registered, so onLinkClosed has missed the call.
            complete(correlation, LINK_CLOSED);
        }
        return new EndpointExchange(outgoingCall.result(), () -> cancel(correlation, session));
    }

    void onMessage(PeerSession session, PeerMessage.ForwardToken message) {
        Option<OutgoingCall> call = find(session, message.correlation());
        if (call.exists(outgoingCall -> !outgoingCall.deliver(message.token()))) {
            cancel(message.correlation(), session);
        }
    }

    void onMessage(PeerSession session, PeerMessage.ForwardResult message) {
        find(session, message.correlation())
                .forEach(call -> complete(message.correlation(), message.result()));
    }

    /** Completes the calls on a closed link as unknown, because the peer may have run the calls. */
    void onLinkClosed(PeerSession session) {
        callsInFlight
                .get()
                .filterValues(call -> call.session() == session)
                .keySet()
                .forEach(correlation -> complete(correlation, LINK_CLOSED));
    }

    private void cancel(long correlation, PeerSession session) {
        if (complete(correlation, new CallResult.Unknown("cancelled"))) {
            session.send(new PeerMessage.Cancel(correlation));
        }
    }

    private Option<OutgoingCall> find(PeerSession session, long correlation) {
        return callsInFlight.get().get(correlation).filter(call -> call.session() == session);
    }

    private boolean complete(long correlation, CallResult result) {
        Option<OutgoingCall> call =
                callsInFlight.getAndUpdate(map -> map.remove(correlation)).get(correlation);
        call.forEach(outgoingCall -> outgoingCall.complete(result));
        return call.isDefined();
    }
}
