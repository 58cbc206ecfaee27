package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;

/** Runs calls that peers in other data centres forward to this instance. */
final class IncomingCallRunner {

    /** Maximum number of calls in flight on one link. Further calls are refused. */
    static final int MAX_CALLS_PER_LINK = 1_024;

    private final PeerLinkManager links;
    private final PeerServiceDependencies dependencies;
    private final AtomicReference<Map<CallKey, EndpointExchange>> callsInFlight =
            new AtomicReference<>(HashMap.empty());

    IncomingCallRunner(PeerLinkManager links, PeerServiceDependencies dependencies) {
        this.links = links;
        this.dependencies = dependencies;
    }

    private record CallKey(PeerSession session, long correlation) {}

    void onMessage(PeerSession session, PeerMessage.Forward forward) {
        CallKey key = new CallKey(session, forward.correlation());
        if (callsInFlight.get().containsKey(key)) {
            return;
        }
        Option<String> refusalReason = findRefusalReason(session, forward);
        if (refusalReason.isDefined()) {
            send(key, new CallResult.Refused(refusalReason.get(), Option.none()));
            return;
        }
        EndpointExchange exchange =
                dependencies
                        .localCaller()
                        .call(
                                forward.call(),
                                token ->
                                        session.send(
                                                new PeerMessage.ForwardToken(
                                                        key.correlation(), token)));
        callsInFlight.updateAndGet(map -> map.put(key, exchange));
        exchange.result().thenAccept(result -> onResult(key, result));
        if (!links.isOpen(session)) {
            exchange.cancel();
        }
    }

    void onMessage(PeerSession session, PeerMessage.Cancel cancel) {
        callsInFlight
                .get()
                .get(new CallKey(session, cancel.correlation()))
                .forEach(EndpointExchange::cancel);
    }

    /**
     * Cancels the calls of a closed link, because the results of the calls can no longer be sent.
     */
    void onLinkClosed(PeerSession session) {
        callsInFlight
                .get()
                .filterKeys(key -> key.session() == session)
                .values()
                .forEach(EndpointExchange::cancel);
    }

    private Option<String> findRefusalReason(PeerSession session, PeerMessage.Forward forward) {
        if (forward.hops() > CallForwarder.MAX_HOPS) {
            return Option.of("too many hops");
        }
        if (dependencies.state().get() != PeerState.SERVING) {
            return Option.of("the peer is not serving");
        }
        return callsInFlight.get().keySet().count(key -> key.session() == session)
                        >= MAX_CALLS_PER_LINK
                ? Option.of("too many forwarded calls in flight on the link")
                : Option.none();
    }

    private void onResult(CallKey key, CallResult result) {
        callsInFlight.updateAndGet(map -> map.remove(key));
        if (!send(key, result)) {
            send(key, new CallResult.Failed("the answer could not be sent", Option.none()));
        }
    }

    private static boolean send(CallKey key, CallResult result) {
        return key.session().send(new PeerMessage.ForwardResult(key.correlation(), result));
    }
}
