package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;

/** Runs calls that peers of other data centres forward to this instance. */
final class ForwardedCallRunner {

    /** Bounds the calls of one link; more are refused. */
    static final int MAX_CALLS_PER_LINK = 1_024;

    private final PeerLinks links;
    private final PeerDuties duties;
    private final AtomicReference<Map<Key, EndpointExchange>> running =
            new AtomicReference<>(HashMap.empty());

    ForwardedCallRunner(PeerLinks links, PeerDuties duties) {
        this.links = links;
        this.duties = duties;
    }

    private record Key(PeerSession session, long correlation) {}

    void received(PeerSession session, PeerMessage.Forward forward) {
        Key key = new Key(session, forward.correlation());
        if (running.get().containsKey(key)) {
            return;
        }
        Option<String> refusal = refusal(session, forward);
        if (refusal.isDefined()) {
            send(key, new CallResult.Refused(refusal.get(), Option.none()));
            return;
        }
        EndpointExchange exchange =
                duties.calls()
                        .call(
                                forward.call(),
                                token ->
                                        session.send(
                                                new PeerMessage.ForwardToken(
                                                        key.correlation(), token)));
        running.updateAndGet(map -> map.put(key, exchange));
        exchange.result().thenAccept(result -> finished(key, result));
        if (!links.isOpen(session)) {
            exchange.cancel();
        }
    }

    void received(PeerSession session, PeerMessage.Cancel cancel) {
        running.get().get(new Key(session, cancel.correlation())).forEach(EndpointExchange::cancel);
    }

    /** Cancels the calls of a link that is gone, since nobody can take their answers. */
    void lost(PeerSession session) {
        running.get()
                .filterKeys(key -> key.session() == session)
                .values()
                .forEach(EndpointExchange::cancel);
    }

    private Option<String> refusal(PeerSession session, PeerMessage.Forward forward) {
        if (forward.hops() > CallForwarder.MAX_HOPS) {
            return Option.of("too many hops");
        }
        if (duties.state().get() != PeerState.SERVING) {
            return Option.of("the peer is not serving");
        }
        return running.get().keySet().count(key -> key.session() == session) >= MAX_CALLS_PER_LINK
                ? Option.of("too many forwarded calls")
                : Option.none();
    }

    private void finished(Key key, CallResult result) {
        running.updateAndGet(map -> map.remove(key));
        if (!send(key, result)) {
            send(key, new CallResult.Failed("the answer could not be sent", Option.none()));
        }
    }

    private static boolean send(Key key, CallResult result) {
        return key.session().send(new PeerMessage.ForwardResult(key.correlation(), result));
    }
}
