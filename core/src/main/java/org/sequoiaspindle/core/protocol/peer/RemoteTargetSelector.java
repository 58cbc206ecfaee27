package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Comparator;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.SpilloverState;
import org.sequoiaspindle.core.protocol.request.Spillover;

/**
 * Chooses the instance to which a refused call is forwarded: the linked instance of another data
 * centre whose heartbeat reports the most free slots for the endpoint group. Thread-safe.
 */
public final class RemoteTargetSelector implements Spillover.TargetSelector {

    private final Supplier<Vector<Peer>> remotePeers;
    private final MillisClock clock;
    private final EventLog events;
    private final ConcurrentHashMap<String, AtomicReference<SpilloverState>> states =
            new ConcurrentHashMap<>();
    private final AtomicReference<Set<String>> lastSpillingGroups =
            new AtomicReference<>(HashSet.empty());

    /**
     * Creates a selector.
     *
     * @param remotePeers returns the live instances of other data centres that have a link to this
     *     instance
     */
    public RemoteTargetSelector(
            Supplier<Vector<Peer>> remotePeers, MillisClock clock, EventLog events) {
        this.remotePeers = remotePeers;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public Option<String> select(String group, RefusalCause cause) {
        long now = clock.now();
        AtomicReference<SpilloverState> state =
                states.computeIfAbsent(group, name -> new AtomicReference<>(SpilloverState.none()));
        SpilloverState previous = state.getAndUpdate(current -> current.afterRefusal(cause, now));
        if (!previous.afterRefusal(cause, now).isActive(now)) {
            return Option.none();
        }
        return remotePeers
                .get()
                .filter(peer -> peer.report().state() == PeerState.SERVING)
                .filter(peer -> freeSlots(peer, group) > 0)
                .maxBy(Comparator.comparingInt((Peer peer) -> freeSlots(peer, group)))
                .map(Peer::address);
    }

    /**
     * Logs when forwarding of a group to other data centres starts or ends. The caller invokes this
     * method about once a second.
     */
    public void logSpillChanges() {
        long now = clock.now();
        Set<String> spillingGroups =
                HashSet.ofAll(states.entrySet())
                        .filter(entry -> entry.getValue().get().isActive(now))
                        .map(entry -> entry.getKey());
        Set<String> previous = lastSpillingGroups.getAndSet(spillingGroups);
        spillingGroups
                .diff(previous)
                .forEach(
                        group -> events.record(LogEvent.SPILL_STARTED, HashMap.of("group", group)));
        previous.diff(spillingGroups)
                .forEach(group -> events.record(LogEvent.SPILL_ENDED, HashMap.of("group", group)));
    }

    private static int freeSlots(Peer peer, String group) {
        return peer.report().load().get(group).map(RemoteTargetSelector::freeSlots).getOrElse(0);
    }

    private static int freeSlots(GroupLoad load) {
        return load.slots() - load.running() - load.queued();
    }
}
