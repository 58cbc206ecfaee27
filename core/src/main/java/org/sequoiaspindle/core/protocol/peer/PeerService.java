package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.LinkRule;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.coordination.membership.MembershipTable;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.coordination.membership.PeerAddress;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;

/**
 * Communicates with the other instances: heartbeats, membership, configuration and forwarded calls.
 * Thread-safe; no method blocks.
 */
public final class PeerService implements AutoCloseable {

    /** Interval between two heartbeats on a link, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 1_000;

    /**
     * Interval in milliseconds at which silent links, redials and polls of the instance list are
     * checked.
     */
    private static final long TICK_MILLIS = 100;

    private final PeerSettings settings;
    private final PeerRuntime runtime;
    private final PeerServiceDependencies dependencies;
    private final Membership membership;
    private final PeerLinkManager links;
    private final ConfigurationExchange configurationExchange;
    private final CallForwarder forwarder;
    private final IncomingCallRunner incomingCallRunner;
    private final SummaryExchange summaryExchange = new SummaryExchange();
    private final InstanceListPoller listPoller;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong nextHeartbeatMillis = new AtomicLong(Long.MIN_VALUE);
    private final AtomicReference<Set<String>> targetAddresses =
            new AtomicReference<>(HashSet.empty());
    private final AtomicReference<Option<Runnable>> cancelTick =
            new AtomicReference<>(Option.none());

    private final AtomicBoolean closed = new AtomicBoolean();

    public PeerService(
            PeerSettings settings, PeerRuntime runtime, PeerServiceDependencies dependencies) {
        this.settings = settings;
        this.runtime = runtime;
        this.dependencies = dependencies;
        this.membership =
                new Membership(
                        MembershipTable.of(
                                createReport(HashMap.empty()),
                                settings.peers(),
                                runtime.clock().now()));
        this.links = new PeerLinkManager(settings, runtime, new MessageDispatcher());
        this.configurationExchange = new ConfigurationExchange(runtime, dependencies);
        this.forwarder = new CallForwarder(links);
        this.incomingCallRunner = new IncomingCallRunner(links, dependencies);
        this.listPoller =
                new InstanceListPoller(
                        runtime,
                        dependencies.instanceList(),
                        membership,
                        this::onListedAddressesChanged);
    }

    /** Returns the callbacks with which the transport reports links opened by peers. */
    public LinkCallbacks acceptCallbacks() {
        return links.acceptCallbacks();
    }

    public void start() {
        tick();
    }

    /** Stops all communication with peers and closes every link. */
    @Override
    public void close() {
        closed.set(true);
        cancelTick.getAndSet(Option.none()).forEach(Runnable::run);
        links.closeAll();
    }

    /**
     * Returns the known instances and the leaving endpoints. Callers add the leaving flags that
     * endpoints report in their responses.
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Announces a configuration to local peers. Only an instance that learned of the configuration
     * from the store needs to call this method.
     */
    public void announce(ActiveConfiguration activeConfiguration) {
        activeConfiguration
                .head()
                .forEach(head -> sendToLocalPeers(new PeerMessage.Announce(head)));
    }

    /**
     * Returns a caller that forwards each call to the instance at the address of the call. That
     * instance runs the call on an endpoint of its data centre.
     */
    public EndpointCaller forwarder() {
        return forwarder;
    }

    /**
     * Returns the live instances of a data centre that have a link to this instance. Calls can be
     * forwarded to these instances.
     */
    public Vector<Peer> reachablePeersIn(String dataCentre) {
        MembershipTable table = membership.table();
        return links.establishedSessions()
                .filter(session -> session.isInDataCentre(dataCentre))
                .flatMap(session -> table.peer(session.peer().get().instance()))
                .filter(peer -> peer.isLive(table.nowMillis()));
    }

    /** Returns the status of every known instance, including this one. */
    public Vector<InstanceStatus> statuses() {
        MembershipTable table = membership.update(t -> t.advancedTo(runtime.clock().now()));
        return table.instances().map(peer -> toStatus(peer, table));
    }

    private static InstanceStatus toStatus(Peer peer, MembershipTable table) {
        PeerReport report = peer.report();
        return new InstanceStatus(
                report.instance(),
                report.dataCentre(),
                report.address(),
                report.generation(),
                peer.isLive(table.nowMillis())
                        ? report.state().name().toLowerCase(Locale.ROOT)
                        : "suspected",
                table.nowMillis() - peer.lastHeardMillis());
    }

    private void tick() {
        if (closed.get()) {
            return;
        }
        // The next tick is scheduled before the tasks of this tick run, so that an exception does
        // not stop the heartbeats.
        cancelTick.set(Option.of(runtime.timer().schedule(TICK_MILLIS, this::tick)));
        runDueTasks(runtime.clock().now());
    }

    private void runDueTasks(long now) {
        updateLiveness(now);
        long due = nextHeartbeatMillis.get();
        if (now >= due && nextHeartbeatMillis.compareAndSet(due, now + HEARTBEAT_MILLIS)) {
            sendHeartbeats();
            targetAddresses.set(LinkRule.addresses(membership.table()));
            links.closeUnneededLinks(targetAddresses.get(), now);
        }
        links.tick(targetAddresses.get(), now);
        listPoller.tick(now);
    }

    private void updateLiveness(long now) {
        MembershipTable before = membership.table();
        MembershipTable after = membership.update(table -> table.advancedTo(now));
        after.peers()
                .filter(peer -> !peer.isLive(after.nowMillis()))
                .filter(peer -> peer.isLive(before.nowMillis()))
                .forEach(
                        peer ->
                                runtime.log()
                                        .record(
                                                LogEvent.PEER_SUSPECTED,
                                                HashMap.of("peer", peer.instance())));
        if (after.peers().size() < before.peers().size()) {
            Set<String> peerIds = HashSet.ofAll(after.peers().map(Peer::instance));
            membership.updateLeaving(leaving -> leaving.retainPeers(peerIds));
        }
    }

    private void sendHeartbeats() {
        PeerReport report = createReport(dependencies.load().get());
        MembershipTable table = membership.update(t -> t.withLocalReport(report));
        links.establishedSessions().forEach(session -> sendHeartbeat(session, report));
        Vector<PeerSession> remote =
                links.establishedSessions()
                        .filter(session -> !isLocal(session) && session.isNeededByPeer());
        summaryExchange.sendDue(remote, table);
    }

    private void sendHeartbeat(PeerSession session, PeerReport report) {
        // The load makes up most of a heartbeat, so the load is not sent to remote peers that do
        // not need this link.
        boolean includeLoad = isLocal(session) || session.isNeededByPeer();
        session.send(
                new PeerMessage.Heartbeat(
                        includeLoad ? report : report.withoutLoad(),
                        targetAddresses.get().exists(session::hasAddress),
                        isLocal(session)
                                ? membership.leavingEndpoints().locallyLearnedAddresses()
                                : HashSet.empty()));
    }

    private PeerReport createReport(Map<String, GroupLoad> load) {
        return new PeerReport(
                settings.instance(),
                settings.dataCentre(),
                settings.address(),
                settings.incarnation(),
                sequence.incrementAndGet(),
                dependencies.generation(),
                dependencies.state().get(),
                load);
    }

    private boolean isLocal(PeerSession session) {
        return session.isInDataCentre(settings.dataCentre());
    }

    private void sendToLocalPeers(PeerMessage message) {
        links.establishedSessions().filter(this::isLocal).forEach(session -> session.send(message));
    }

    private void onListedAddressesChanged(Vector<PeerAddress> addresses) {
        sendToLocalPeers(new PeerMessage.Directory(addresses));
        targetAddresses.set(LinkRule.addresses(membership.table()));
    }

    /** Dispatches the events of links to the components that handle the events. */
    private final class MessageDispatcher implements PeerLinkManager.Listener {

        @Override
        public void onEstablished(PeerSession session) {
            sendHeartbeat(session, createReport(dependencies.load().get()));
            Vector<PeerAddress> addresses = membership.table().listedAddresses();
            if (isLocal(session)
                    && WatcherRule.isWatcher(membership.table())
                    && addresses.nonEmpty()) {
                session.send(new PeerMessage.Directory(addresses));
            }
        }

        @Override
        public void onMessage(PeerSession session, PeerMessage message) {
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                onHeartbeat(session, heartbeat);
            } else if (message instanceof PeerMessage.Summary summary) {
                onSummary(session, summary);
            } else if (message instanceof PeerMessage.Directory directory && isLocal(session)) {
                membership.update(table -> table.withListedAddresses(directory.addresses()));
            } else if (message instanceof PeerMessage.Announce announce) {
                configurationExchange.onHead(session, announce.head());
            } else if (message instanceof PeerMessage.FetchHead fetch) {
                configurationExchange.onMessage(session, fetch);
            } else if (message instanceof PeerMessage.HeadReply reply) {
                configurationExchange.onMessage(session, reply);
            } else if (message instanceof PeerMessage.FetchParts fetch) {
                configurationExchange.onMessage(session, fetch);
            } else if (message instanceof PeerMessage.PartsReply reply) {
                configurationExchange.onMessage(session, reply);
            } else if (message instanceof PeerMessage.Forward forward) {
                incomingCallRunner.onMessage(session, forward);
            } else if (message instanceof PeerMessage.ForwardToken token) {
                forwarder.onMessage(session, token);
            } else if (message instanceof PeerMessage.ForwardResult result) {
                forwarder.onMessage(session, result);
            } else if (message instanceof PeerMessage.Cancel cancel) {
                incomingCallRunner.onMessage(session, cancel);
            }
        }

        private void onHeartbeat(PeerSession session, PeerMessage.Heartbeat heartbeat) {
            PeerReport report = heartbeat.report();
            PeerMessage.Hello hello = session.peer().get();
            boolean sentByLinkPeer =
                    report.instance().equals(hello.instance())
                            && report.dataCentre().equals(hello.dataCentre())
                            && report.incarnation() == hello.incarnation();
            if (!sentByLinkPeer) {
                links.reject(session, "heartbeat of an instance other than the peer of the link");
                return;
            }
            membership.update(table -> table.withHeartbeat(report, runtime.clock().now()));
            if (isLocal(session)) {
                membership.updateLeaving(
                        leaving -> leaving.withPeerReport(report, heartbeat.leaving()));
            }
            session.setNeededByPeer(heartbeat.needsLink());
            configurationExchange.onPeerGeneration(session, report.generation());
        }

        private void onSummary(PeerSession session, PeerMessage.Summary summary) {
            if (!isLocal(session) && session.isInDataCentre(summary.dataCentre())) {
                membership.update(
                        table -> SummaryExchange.apply(table, summary, runtime.clock().now()));
            }
        }

        @Override
        public void onClosed(PeerSession session) {
            configurationExchange.onLinkClosed(session);
            forwarder.onLinkClosed(session);
            incomingCallRunner.onLinkClosed(session);
            summaryExchange.onLinkClosed(session);
        }

        @Override
        public void onUnreachable(String address) {
            membership.update(
                    table -> table.withUnreachableAddress(address, runtime.clock().now()));
        }
    }
}
