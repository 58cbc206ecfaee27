package org.sequoiaspindle.core.coordination.membership;

import io.vavr.Tuple2;
import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;

/**
 * To which addresses an instance keeps links: all instances of its data centre and one of each
 * remote data centre. The choice hashes the own identifier with the address of the peer, because
 * the setting and the platform's list give addresses only; the identifier of a peer becomes known
 * with the first link.
 */
public final class LinkRule {

    private LinkRule() {}

    /** Addresses to keep links to. */
    public static Set<String> addresses(MembershipTable table) {
        Vector<Contact> contacts = table.contacts();
        Tuple2<Vector<Contact>, Vector<Contact>> split =
                contacts.partition(contact -> isRemote(contact, table.self().dataCentre()));
        Set<String> unusable = table.unusableAddresses();
        String own = table.self().instance();
        Vector<String> remote =
                split._1
                        .groupBy(contact -> contact.dataCentre().get())
                        .values()
                        .map(candidates -> choose(own, candidates.map(Contact::address), unusable))
                        .toVector();
        // Contacts of an unknown data centre are dialled to learn where they belong.
        return HashSet.ofAll(split._2.map(Contact::address)).addAll(remote);
    }

    private static boolean isRemote(Contact contact, String ownDataCentre) {
        return contact.dataCentre().exists(dataCentre -> !dataCentre.equals(ownDataCentre));
    }

    private static String choose(String own, Vector<String> addresses, Set<String> unusable) {
        Vector<String> usable = addresses.reject(unusable::contains);
        Vector<String> candidates = usable.isEmpty() ? addresses : usable;
        return Rendezvous.rank(own, candidates, address -> address).head();
    }
}
