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
import org.sequoiaspindle.core.coordination.membership.Contact;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.LinkRule;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.coordination.membership.MembershipTable;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.publication.HeldConfiguration;

/**
 * The conversation of this instance with the others: heartbeats, membership, configuration and
 * forwarded calls. Thread-safe; nothing blocks.
 */
public final class PeerService implements AutoCloseable {

    /** Time between two heartbeats on a link. */
    public static final long HEARTBEAT_MILLIS = 1_000;

    /** Step in which silence, redials and polls are checked. */
    private static final long TICK_MILLIS = 100;

    private final PeerSettings settings;
    private final PeerRuntime runtime;
    private final PeerDuties duties;
    private final Membership membership;
    private final PeerLinks links;
    private final ConfigurationExchange configuration;
    private final CallForwarder forwarder;
    private final ForwardedCallRunner runner;
    private final Summaries summaries = new Summaries();
    private final ListPolls polls;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong nextHeartbeatMillis = new AtomicLong(Long.MIN_VALUE);
    private final AtomicReference<Set<String>> wanted = new AtomicReference<>(HashSet.empty());
    private final AtomicReference<Option<Runnable>> ticking = new AtomicReference<>(Option.none());

    private final AtomicBoolean closed = new AtomicBoolean();

    public PeerService(PeerSettings settings, PeerRuntime runtime, PeerDuties duties) {
        this.settings = settings;
        this.runtime = runtime;
        this.duties = duties;
        this.membership =
                new Membership(
                        MembershipTable.of(
                                report(HashMap.empty()), settings.peers(), runtime.clock().now()));
        this.links = new PeerLinks(settings, runtime, new Dispatch());
        this.configuration = new ConfigurationExchange(runtime, duties);
        this.forwarder = new CallForwarder(links);
        this.runner = new ForwardedCallRunner(links, duties);
        this.polls = new ListPolls(runtime, duties.list(), membership, this::passOn);
    }

    /** Events of the links that peers open, for the accepting side of the transport. */
    public LinkEvents accepting() {
        return links.accepting();
    }

    public void start() {
        tick();
    }

    /** Stops the conversation and closes every link. */
    @Override
    public void close() {
        closed.set(true);
        ticking.getAndSet(Option.none()).forEach(Runnable::run);
        links.closeAll();
    }

    /** Instances and leaving endpoints; answers of endpoints are reported there. */
    public Membership membership() {
        return membership;
    }

    /**
     * Tells local peers of a configuration. To be called by the instance that learned of it from
     * the store; those that learned of it from a peer need not repeat it.
     */
    public void announce(HeldConfiguration held) {
        held.head().forEach(head -> sendLocally(new PeerMessage.Announce(head)));
    }

    /** Caller whose calls are run by the instance at the call's address, in its data centre. */
    public EndpointCaller forwarder() {
        return forwarder;
    }

    /** Live instances of the data centre to which calls can be forwarded. */
    public Vector<Peer> linkedIn(String dataCentre) {
        MembershipTable table = membership.table();
        return links.established()
                .filter(session -> session.isFrom(dataCentre))
                .flatMap(session -> table.peer(session.peer().get().instance()))
                .filter(peer -> peer.isLive(table.nowMillis()));
    }

    /** Every known instance, this one included. */
    public Vector<InstanceStatus> statuses() {
        MembershipTable table = membership.update(t -> t.at(runtime.clock().now()));
        return table.instances().map(peer -> status(peer, table));
    }

    private static InstanceStatus status(Peer peer, MembershipTable table) {
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
        // Scheduled before the work, so that a failure in it does not end the heartbeats.
        ticking.set(Option.of(runtime.timer().schedule(TICK_MILLIS, this::tick)));
        work(runtime.clock().now());
    }

    private void work(long now) {
        passTime(now);
        long due = nextHeartbeatMillis.get();
        if (now >= due && nextHeartbeatMillis.compareAndSet(due, now + HEARTBEAT_MILLIS)) {
            beat();
            wanted.set(LinkRule.addresses(membership.table()));
            links.closeUnneeded(wanted.get(), now);
        }
        links.tick(wanted.get(), now);
        polls.tick(now);
    }

    private void passTime(long now) {
        MembershipTable before = membership.table();
        MembershipTable after = membership.update(table -> table.at(now));
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
            Set<String> known = HashSet.ofAll(after.peers().map(Peer::instance));
            membership.updateLeaving(leaving -> leaving.retainPeers(known));
        }
    }

    private void beat() {
        PeerReport report = report(duties.load().get());
        MembershipTable table = membership.update(t -> t.withSelf(report));
        links.established().forEach(session -> beat(session, report));
        Vector<PeerSession> remote =
                links.established()
                        .filter(session -> !isLocal(session) && session.isChosenByPeer());
        summaries.tick(remote, table);
    }

    private void beat(PeerSession session, PeerReport report) {
        // Load is most of a heartbeat, so peers that did not choose this instance get none.
        boolean detailed = isLocal(session) || session.isChosenByPeer();
        session.send(
                new PeerMessage.Heartbeat(
                        detailed ? report : report.withoutLoad(),
                        wanted.get().exists(session::reaches),
                        isLocal(session) ? membership.leaving().own() : HashSet.empty()));
    }

    private PeerReport report(Map<String, GroupLoad> load) {
        return new PeerReport(
                settings.instance(),
                settings.dataCentre(),
                settings.address(),
                settings.incarnation(),
                sequence.incrementAndGet(),
                duties.generation(),
                duties.state().get(),
                load);
    }

    private boolean isLocal(PeerSession session) {
        return session.isFrom(settings.dataCentre());
    }

    private void sendLocally(PeerMessage message) {
        links.established().filter(this::isLocal).forEach(session -> session.send(message));
    }

    private void passOn(Vector<Contact> contacts) {
        sendLocally(new PeerMessage.Directory(contacts));
        wanted.set(LinkRule.addresses(membership.table()));
    }

    /** Hands the events of links to the parts of the conversation. */
    private final class Dispatch implements PeerLinks.Listener {

        @Override
        public void established(PeerSession session) {
            beat(session, report(duties.load().get()));
            Vector<Contact> listed = membership.table().listedContacts();
            if (isLocal(session) && WatcherRule.watches(membership.table()) && listed.nonEmpty()) {
                session.send(new PeerMessage.Directory(listed));
            }
        }

        @Override
        public void received(PeerSession session, PeerMessage message) {
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                heard(session, heartbeat);
            } else if (message instanceof PeerMessage.Summary summary) {
                summarised(session, summary);
            } else if (message instanceof PeerMessage.Directory directory && isLocal(session)) {
                membership.update(table -> table.listed(directory.contacts()));
            } else if (message instanceof PeerMessage.Announce announce) {
                configuration.offered(session, announce.head());
            } else if (message instanceof PeerMessage.FetchHead fetch) {
                configuration.received(session, fetch);
            } else if (message instanceof PeerMessage.HeadReply reply) {
                configuration.received(session, reply);
            } else if (message instanceof PeerMessage.FetchParts fetch) {
                configuration.received(session, fetch);
            } else if (message instanceof PeerMessage.PartsReply reply) {
                configuration.received(session, reply);
            } else if (message instanceof PeerMessage.Forward forward) {
                runner.received(session, forward);
            } else if (message instanceof PeerMessage.ForwardToken token) {
                forwarder.received(session, token);
            } else if (message instanceof PeerMessage.ForwardResult result) {
                forwarder.received(session, result);
            } else if (message instanceof PeerMessage.Cancel cancel) {
                runner.received(session, cancel);
            }
        }

        private void heard(PeerSession session, PeerMessage.Heartbeat heartbeat) {
            PeerReport report = heartbeat.report();
            PeerMessage.Hello hello = session.peer().get();
            boolean own =
                    report.instance().equals(hello.instance())
                            && report.dataCentre().equals(hello.dataCentre())
                            && report.incarnation() == hello.incarnation();
            if (!own) {
                links.reject(session, "heartbeat of another instance");
                return;
            }
            membership.update(table -> table.heard(report, runtime.clock().now()));
            if (isLocal(session)) {
                membership.updateLeaving(leaving -> leaving.heard(report, heartbeat.leaving()));
            }
            session.chosenByPeer(heartbeat.chosen());
            configuration.heardGeneration(session, report.generation());
        }

        private void summarised(PeerSession session, PeerMessage.Summary summary) {
            if (!isLocal(session) && session.isFrom(summary.dataCentre())) {
                membership.update(table -> Summaries.enter(table, summary, runtime.clock().now()));
            }
        }

        @Override
        public void lost(PeerSession session) {
            configuration.lost(session);
            forwarder.lost(session);
            runner.lost(session);
            summaries.lost(session);
        }

        @Override
        public void unreachable(String address) {
            membership.update(table -> table.unreachable(address, runtime.clock().now()));
        }
    }
}
