package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Seq;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The instances of the system as known to one instance: peers that have sent heartbeats or were
 * reported by others, and addresses from the setting {@code peers} and from the platform's instance
 * list. Immutable.
 */
public final class MembershipTable {

    /**
     * Time for which an address that could not be reached is avoided if there is another choice.
     */
    public static final long UNREACHABLE_MILLIS = 10_000;

    private final PeerReport self;
    private final Vector<PeerAddress> configuredAddresses;
    private final Vector<PeerAddress> listedAddresses;
    private final Map<String, Peer> peers;
    private final Map<String, Long> unreachableSince;
    private final long nowMillis;

    private MembershipTable(
            PeerReport self,
            Vector<PeerAddress> configuredAddresses,
            Vector<PeerAddress> listedAddresses,
            Map<String, Peer> peers,
            Map<String, Long> unreachableSince,
            long nowMillis) {
        this.self = self;
        this.configuredAddresses = configuredAddresses;
        this.listedAddresses = listedAddresses;
        this.peers = peers;
        this.unreachableSince = unreachableSince;
        this.nowMillis = nowMillis;
    }

    /** Returns the table of an instance that has not heard from any peer. */
    public static MembershipTable of(
            PeerReport self, Vector<String> configuredAddresses, long nowMillis) {
        return new MembershipTable(
                self,
                configuredAddresses.map(address -> new PeerAddress(address, Option.none())),
                Vector.empty(),
                HashMap.empty(),
                HashMap.empty(),
                nowMillis);
    }

    /**
     * Applies a heartbeat that the peer itself sent. A heartbeat that is not newer than the last
     * heartbeat of the peer is ignored, so that a delayed or duplicated heartbeat neither revives a
     * dead peer nor restores an outdated state.
     */
    public MembershipTable withHeartbeat(PeerReport report, long atMillis) {
        MembershipTable currentTable = advancedTo(atMillis);
        if (report.instance().equals(self.instance())) {
            return currentTable;
        }
        if (!currentTable.isNewer(report)) {
            return currentTable;
        }
        Peer peer = new Peer(report, currentTable.nowMillis, Peer.Relay.DIRECT);
        return currentTable.withPeers(
                currentTable.peers.put(report.instance(), peer),
                currentTable.unreachableSince.remove(report.address()));
    }

    /**
     * Applies a report about a peer that another instance of the data centre of the peer has
     * relayed.
     *
     * @param suspected whether the other instance suspects the peer
     * @param ageMillis time since the other instance received the last heartbeat of the peer, in
     *     milliseconds
     */
    public MembershipTable withRelayedReport(
            PeerReport report, boolean suspected, long ageMillis, long atMillis) {
        MembershipTable currentTable = advancedTo(atMillis);
        if (report.instance().equals(self.instance())) {
            return currentTable;
        }
        Peer.Relay relay = suspected ? Peer.Relay.RELAYED_SUSPECTED : Peer.Relay.RELAYED;
        Peer peer = new Peer(report, currentTable.nowMillis - Math.max(0, ageMillis), relay);
        if (peer.isExpired(currentTable.nowMillis)) {
            return currentTable;
        }
        if (currentTable.isNewer(report)) {
            return currentTable.withPeers(
                    currentTable.peers.put(report.instance(), peer), currentTable.unreachableSince);
        }
        // A suspicion is relayed with the last report again, so only the flag differs.
        Option<Peer> sameReport =
                currentTable
                        .peers
                        .get(report.instance())
                        .filter(knownPeer -> knownPeer.relay() != Peer.Relay.DIRECT)
                        .filter(knownPeer -> knownPeer.report().isSameHeartbeat(report));
        return sameReport
                .map(knownPeer -> new Peer(knownPeer.report(), knownPeer.lastHeardMillis(), relay))
                .map(
                        knownPeer ->
                                currentTable.withPeers(
                                        currentTable.peers.put(knownPeer.instance(), knownPeer),
                                        currentTable.unreachableSince))
                .getOrElse(currentTable);
    }

    /** Replaces the platform's list of entry instances. */
    public MembershipTable withListedAddresses(Vector<PeerAddress> listedAddresses) {
        return new MembershipTable(
                self, configuredAddresses, listedAddresses, peers, unreachableSince, nowMillis);
    }

    /**
     * Records that no link to the address could be opened or that the link to the address has timed
     * out.
     */
    public MembershipTable withUnreachableAddress(String address, long atMillis) {
        MembershipTable currentTable = advancedTo(atMillis);
        return currentTable.withPeers(
                currentTable.peers,
                currentTable.unreachableSince.put(address, currentTable.nowMillis));
    }

    /** Replaces the report of this instance. */
    public MembershipTable withLocalReport(PeerReport report) {
        return new MembershipTable(
                report, configuredAddresses, listedAddresses, peers, unreachableSince, nowMillis);
    }

    /** Advances the time of the table. Peers that have been silent for 60 s are removed. */
    public MembershipTable advancedTo(long atMillis) {
        if (atMillis <= nowMillis) {
            return this;
        }
        return new MembershipTable(
                self,
                configuredAddresses,
                listedAddresses,
                peers.values().exists(peer -> peer.isExpired(atMillis))
                        ? peers.filterValues(peer -> !peer.isExpired(atMillis))
                        : peers,
                unreachableSince.filterValues(since -> atMillis - since <= UNREACHABLE_MILLIS),
                atMillis);
    }

    /** Returns the live instances of this instance's data centre, including this instance. */
    public Vector<Peer> liveLocal() {
        return liveIn(self.dataCentre());
    }

    /** Returns the live instances of a data centre, including this instance if it belongs there. */
    public Vector<Peer> liveIn(String dataCentre) {
        return instances()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .filter(peer -> peer.isLive(nowMillis));
    }

    /** Returns all known instances in order of identifier, including this instance. */
    public Vector<Peer> instances() {
        return peers.values()
                .toVector()
                .append(new Peer(self, nowMillis, Peer.Relay.DIRECT))
                .sortBy(Peer::instance);
    }

    /** Returns all other known instances, in no particular order. */
    public Seq<Peer> peers() {
        return peers.values();
    }

    public Option<Peer> peer(String instance) {
        return peers.get(instance);
    }

    public PeerReport self() {
        return self;
    }

    /** Returns the entry instances of the platform's most recently applied list. */
    public Vector<PeerAddress> listedAddresses() {
        return listedAddresses;
    }

    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Returns the known addresses of other instances. The data centre in a peer's own report takes
     * precedence over the data centre in the platform's list.
     */
    public Vector<PeerAddress> peerAddresses() {
        Vector<PeerAddress> reportedAddresses =
                peers.values()
                        .toVector()
                        .sortBy(Peer::lastHeardMillis)
                        .map(peer -> new PeerAddress(peer.address(), Option.of(peer.dataCentre())));
        // Replacing a key of Vavr's LinkedHashMap takes time linear in its size.
        java.util.Map<String, PeerAddress> byAddress = new java.util.LinkedHashMap<>();
        configuredAddresses
                .appendAll(listedAddresses)
                .appendAll(reportedAddresses)
                .forEach(peerAddress -> byAddress.put(peerAddress.address(), peerAddress));
        byAddress.remove(self.address());
        return Vector.ofAll(byAddress.values());
    }

    /** Returns the addresses to which a link is not expected to work. */
    public Set<String> unusableAddresses() {
        Set<String> silentAddresses =
                HashSet.ofAll(
                        peers.values().filter(peer -> !peer.isLive(nowMillis)).map(Peer::address));
        Set<String> liveAddresses =
                HashSet.ofAll(
                        peers.values().filter(peer -> peer.isLive(nowMillis)).map(Peer::address));
        return silentAddresses.diff(liveAddresses).union(HashSet.ofAll(unreachableSince.keySet()));
    }

    private boolean isNewer(PeerReport report) {
        return peers.get(report.instance())
                .forAll(knownPeer -> report.isNewerThan(knownPeer.report()));
    }

    private MembershipTable withPeers(
            Map<String, Peer> newPeers, Map<String, Long> newUnreachable) {
        return new MembershipTable(
                self, configuredAddresses, listedAddresses, newPeers, newUnreachable, nowMillis);
    }
}
