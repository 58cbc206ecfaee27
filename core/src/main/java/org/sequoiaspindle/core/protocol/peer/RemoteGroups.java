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
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;
import org.sequoiaspindle.core.coordination.routing.SpillState;
import org.sequoiaspindle.core.protocol.request.Spillover;

/**
 * Chooses the linked instance of another data centre whose heartbeat shows most free slots for a
 * group that the own data centre refuses. Thread-safe.
 */
public final class RemoteGroups implements Spillover.TargetSelector {

    private final Supplier<Vector<Peer>> remotePeers;
    private final MillisClock clock;
    private final EventLog events;
    private final ConcurrentHashMap<String, AtomicReference<SpillState>> states =
            new ConcurrentHashMap<>();
    private final AtomicReference<Set<String>> lastSpilling =
            new AtomicReference<>(HashSet.empty());

    /**
     * Chooser among peers.
     *
     * @param remotePeers live linked instances of other data centres
     */
    public RemoteGroups(Supplier<Vector<Peer>> remotePeers, MillisClock clock, EventLog events) {
        this.remotePeers = remotePeers;
        this.clock = clock;
        this.events = events;
    }

    @Override
    public Option<String> select(String group, RefusalCause cause) {
        long now = clock.now();
        AtomicReference<SpillState> state =
                states.computeIfAbsent(group, any -> new AtomicReference<>(SpillState.none()));
        SpillState before = state.getAndUpdate(held -> held.refused(cause, now));
        if (!before.refused(cause, now).isSpilling(now)) {
            return Option.none();
        }
        return remotePeers
                .get()
                .filter(peer -> peer.report().state() == PeerState.SERVING)
                .filter(peer -> freeSlots(peer, group) > 0)
                .maxBy(Comparator.comparingInt((Peer peer) -> freeSlots(peer, group)))
                .map(Peer::address);
    }

    /** Logs the start and end of spills; to be called about once a second. */
    public void look() {
        long now = clock.now();
        Set<String> spilling =
                HashSet.ofAll(states.entrySet())
                        .filter(entry -> entry.getValue().get().isSpilling(now))
                        .map(entry -> entry.getKey());
        Set<String> before = lastSpilling.getAndSet(spilling);
        spilling.diff(before)
                .forEach(
                        group -> events.record(LogEvent.SPILL_STARTED, HashMap.of("group", group)));
        before.diff(spilling)
                .forEach(group -> events.record(LogEvent.SPILL_ENDED, HashMap.of("group", group)));
    }

    private static int freeSlots(Peer peer, String group) {
        return peer.report().load().get(group).map(RemoteGroups::freeSlots).getOrElse(0);
    }

    private static int freeSlots(GroupLoad load) {
        return load.slots() - load.running() - load.queued();
    }
}
