package org.sequoiaspindle.core.coordination.membership;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;

/**
 * Selects the addresses to which an instance keeps links: all instances of its data centre and one
 * instance of each remote data centre. The remote instance is selected by rendezvous hashing of
 * this instance's identifier with the address of the peer, because the setting {@code peers} and
 * the platform's instance list contain addresses only; the identifier of a peer is known once a
 * link to that peer was opened.
 */
public final class LinkRule {

    private LinkRule() {}

    /** Returns the addresses to which the owner of the table keeps links. */
    public static Set<String> addresses(MembershipTable table) {
        Vector<PeerAddress> peerAddresses = table.peerAddresses();
        Tuple2<Vector<PeerAddress>, Vector<PeerAddress>> remoteAndOther =
                peerAddresses.partition(
                        peerAddress -> isRemote(peerAddress, table.self().dataCentre()));
        Set<String> unusableAddresses = table.unusableAddresses();
        String linkingInstance = table.self().instance();
        Vector<String> remoteAddresses =
                remoteAndOther
                        ._1
                        .groupBy(peerAddress -> peerAddress.dataCentre().get())
                        .values()
                        .map(
                                candidates ->
                                        choose(
                                                linkingInstance,
                                                candidates.map(PeerAddress::address),
                                                unusableAddresses))
                        .toVector();
        // Addresses whose data centre is unknown are linked as well, in order to learn the data
        // centre.
        return HashSet.ofAll(remoteAndOther._2.map(PeerAddress::address)).addAll(remoteAddresses);
    }

    private static boolean isRemote(PeerAddress peerAddress, String localDataCentre) {
        return peerAddress.dataCentre().exists(dataCentre -> !dataCentre.equals(localDataCentre));
    }

    private static String choose(
            String linkingInstance, Vector<String> addresses, Set<String> unusableAddresses) {
        Vector<String> usableAddresses = addresses.reject(unusableAddresses::contains);
        Vector<String> candidates = usableAddresses.isEmpty() ? addresses : usableAddresses;
        return RendezvousHashing.rank(linkingInstance, candidates, address -> address).head();
    }
}
