package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * What one instance knows of the instances of the system: peers that were heard of, and addresses
 * from the setting and the platform's list. Immutable.
 */
public final class MembershipTable {

    /** How long an address that could not be reached is passed over if there is another choice. */
    public static final long UNREACHABLE_MILLIS = 10_000;

    private final PeerReport self;
    private final Vector<Contact> configured;
    private final Vector<Contact> listed;
    private final Map<String, Peer> peers;
    private final Map<String, Long> unreachableSince;
    private final long nowMillis;

    private MembershipTable(
            PeerReport self,
            Vector<Contact> configured,
            Vector<Contact> listed,
            Map<String, Peer> peers,
            Map<String, Long> unreachableSince,
            long nowMillis) {
        this.self = self;
        this.configured = configured;
        this.listed = listed;
        this.peers = peers;
        this.unreachableSince = unreachableSince;
        this.nowMillis = nowMillis;
    }

    /** Table of an instance that has heard of nobody. */
    public static MembershipTable of(
            PeerReport self, Vector<String> configuredAddresses, long nowMillis) {
        return new MembershipTable(
                self,
                configuredAddresses.map(address -> new Contact(address, Option.none())),
                Vector.empty(),
                HashMap.empty(),
                HashMap.empty(),
                nowMillis);
    }

    /**
     * Takes a heartbeat of the peer itself. Heartbeats that are not newer than the known one are
     * ignored, so that a delayed or repeated one neither revives a dead peer nor takes its state
     * back.
     */
    public MembershipTable heard(PeerReport report, long atMillis) {
        MembershipTable at = at(atMillis);
        if (report.instance().equals(self.instance())) {
            return at;
        }
        if (!at.isNews(report)) {
            return at;
        }
        Peer peer = new Peer(report, at.nowMillis, Peer.Relay.DIRECT);
        return at.with(
                at.peers.put(report.instance(), peer),
                at.unreachableSince.remove(report.address()));
    }

    /**
     * Takes what another instance passed on about a peer of its data centre.
     *
     * @param suspected whether the other instance suspects the peer
     * @param ageMillis how long ago the other instance heard the peer
     */
    public MembershipTable relayed(
            PeerReport report, boolean suspected, long ageMillis, long atMillis) {
        MembershipTable at = at(atMillis);
        if (report.instance().equals(self.instance())) {
            return at;
        }
        Peer.Relay relay = suspected ? Peer.Relay.RELAYED_SUSPECTED : Peer.Relay.RELAYED;
        Peer peer = new Peer(report, at.nowMillis - Math.max(0, ageMillis), relay);
        if (peer.isForgotten(at.nowMillis)) {
            return at;
        }
        if (at.isNews(report)) {
            return at.with(at.peers.put(report.instance(), peer), at.unreachableSince);
        }
        // A suspicion repeats the last report, so it is told apart by the flag alone.
        Option<Peer> sameReport =
                at.peers
                        .get(report.instance())
                        .filter(known -> known.relay() != Peer.Relay.DIRECT)
                        .filter(known -> known.report().isSameAs(report));
        return sameReport
                .map(known -> new Peer(known.report(), known.lastHeardMillis(), relay))
                .map(known -> at.with(at.peers.put(known.instance(), known), at.unreachableSince))
                .getOrElse(at);
    }

    /** Takes the platform's list of entry instances; it replaces the list before. */
    public MembershipTable listed(Vector<Contact> contacts) {
        return new MembershipTable(self, configured, contacts, peers, unreachableSince, nowMillis);
    }

    /** Notes that no link could be opened to the address, or that its link went silent. */
    public MembershipTable unreachable(String address, long atMillis) {
        MembershipTable at = at(atMillis);
        return at.with(at.peers, at.unreachableSince.put(address, at.nowMillis));
    }

    /** Takes what this instance says of itself. */
    public MembershipTable withSelf(PeerReport report) {
        return new MembershipTable(report, configured, listed, peers, unreachableSince, nowMillis);
    }

    /** Lets time pass; peers that have been silent for 60 s are forgotten. */
    public MembershipTable at(long atMillis) {
        if (atMillis <= nowMillis) {
            return this;
        }
        return new MembershipTable(
                self,
                configured,
                listed,
                peers.values().exists(peer -> peer.isForgotten(atMillis))
                        ? peers.filterValues(peer -> !peer.isForgotten(atMillis))
                        : peers,
                unreachableSince.filterValues(since -> atMillis - since <= UNREACHABLE_MILLIS),
                atMillis);
    }

    /** Live instances of this instance's data centre, itself included. */
    public Vector<Peer> liveLocal() {
        return liveIn(self.dataCentre());
    }

    /** Live instances of the data centre, this instance included where it belongs. */
    public Vector<Peer> liveIn(String dataCentre) {
        return instances()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .filter(peer -> peer.isLive(nowMillis));
    }

    /** Every known instance in order of identifier, this one included. */
    public Vector<Peer> instances() {
        return peers.values()
                .toVector()
                .append(new Peer(self, nowMillis, Peer.Relay.DIRECT))
                .sortBy(Peer::instance);
    }

    /** Other instances that were heard of, in no particular order. */
    public Seq<Peer> peers() {
        return peers.values();
    }

    public Option<Peer> peer(String instance) {
        return peers.get(instance);
    }

    public PeerReport self() {
        return self;
    }

    /** Entry instances in the platform's list as it was last taken. */
    public Vector<Contact> listedContacts() {
        return listed;
    }

    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Known addresses of other instances; a data centre that was heard goes before a listed one.
     */
    public Vector<Contact> contacts() {
        Vector<Contact> heard =
                peers.values()
                        .toVector()
                        .sortBy(Peer::lastHeardMillis)
                        .map(peer -> new Contact(peer.address(), Option.of(peer.dataCentre())));
        // Replacing a key of Vavr's LinkedHashMap takes time linear in its size.
        java.util.Map<String, Contact> byAddress = new java.util.LinkedHashMap<>();
        configured
                .appendAll(listed)
                .appendAll(heard)
                .forEach(contact -> byAddress.put(contact.address(), contact));
        byAddress.remove(self.address());
        return Vector.ofAll(byAddress.values());
    }

    /** Addresses to which a link cannot be expected to work. */
    public Set<String> unusableAddresses() {
        Set<String> silent =
                HashSet.ofAll(
                        peers.values().filter(peer -> !peer.isLive(nowMillis)).map(Peer::address));
        Set<String> live =
                HashSet.ofAll(
                        peers.values().filter(peer -> peer.isLive(nowMillis)).map(Peer::address));
        return silent.diff(live).union(HashSet.ofAll(unreachableSince.keySet()));
    }

    private boolean isNews(PeerReport report) {
        return peers.get(report.instance()).forAll(known -> report.isNewerThan(known.report()));
    }

    private MembershipTable with(Map<String, Peer> newPeers, Map<String, Long> newUnreachable) {
        return new MembershipTable(self, configured, listed, newPeers, newUnreachable, nowMillis);
    }
}
