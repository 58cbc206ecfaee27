package org.sequoiaspindle.core.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Checks that every data centre has watchers and links, and that removing an instance reassigns
 * only its own duties.
 */
final class MembershipRulesTest {

    private static Vector<PeerReport> fleet(int dataCentres, int perDataCentre, int offset) {
        return Vector.range(0, dataCentres * perDataCentre)
                .map(i -> PeerReports.report("" + (offset + i), "dc" + i % dataCentres, 1, 1));
    }

    private static MembershipTable tableOf(PeerReport self, Vector<PeerReport> fleet) {
        return PeerReports.table(self, fleet.remove(self));
    }

    private static Set<String> watchers(Vector<PeerReport> fleet) {
        return HashSet.ofAll(fleet.filter(self -> WatcherRule.isWatcher(tableOf(self, fleet))))
                .map(PeerReport::instance);
    }

    @Property(seed = "20261204", tries = 100)
    void everyDataCentreHasOneOrTwoWatchersOnceViewsAgree(
            @ForAll @IntRange(min = 1, max = 4) int dataCentres,
            @ForAll @IntRange(min = 1, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset) {
        Vector<PeerReport> fleet = fleet(dataCentres, perDataCentre, offset);
        Set<String> watchers = watchers(fleet);
        fleet.groupBy(PeerReport::dataCentre)
                .forEach(
                        (dataCentre, members) ->
                                assertEquals(
                                        Math.min(2, members.size()),
                                        members.count(m -> watchers.contains(m.instance()))));
    }

    @Property(seed = "20261204", tries = 100)
    void removalOfAnInstanceReassignsOnlyItsOwnDuties(
            @ForAll @IntRange(min = 2, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset,
            @ForAll @IntRange(max = 11) int removedIndex) {
        Vector<PeerReport> fleet = fleet(2, perDataCentre, offset);
        PeerReport removed = fleet.get(removedIndex % fleet.size());
        Vector<PeerReport> remaining = fleet.remove(removed);
        assertTrue(watchers(remaining).containsAll(watchers(fleet).remove(removed.instance())));
        for (PeerReport self : remaining) {
            Set<String> before = LinkRule.addresses(tableOf(self, fleet));
            Set<String> after = LinkRule.addresses(tableOf(self, remaining));
            assertTrue(after.containsAll(before.remove(removed.address())));
        }
    }

    @Property(seed = "20261204", tries = 50)
    void linksReachAllLocalPeersAndEveryDataCentre(
            @ForAll @IntRange(min = 1, max = 6) int dataCentres,
            @ForAll @IntRange(min = 1, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset) {
        Vector<PeerReport> fleet = fleet(dataCentres, perDataCentre, offset);
        for (PeerReport self : fleet) {
            Set<String> links = LinkRule.addresses(tableOf(self, fleet));
            Vector<PeerReport> linked = fleet.filter(peer -> links.contains(peer.address()));
            assertEquals(perDataCentre - 1 + dataCentres - 1, linked.size());
            assertEquals(
                    perDataCentre - 1, linked.count(p -> p.dataCentre().equals(self.dataCentre())));
            assertEquals(
                    fleet.map(PeerReport::dataCentre).toSet().remove(self.dataCentre()),
                    linked.map(PeerReport::dataCentre).toSet().remove(self.dataCentre()));
        }
    }

    @Test
    void noInstanceOfTheFullFleetIsChosenByFarMoreThanItsShare() {
        Vector<PeerReport> fleet = fleet(18, 19, 0);
        Vector<String> linkedAddresses =
                fleet.flatMap(self -> LinkRule.addresses(tableOf(self, fleet)));
        int most =
                linkedAddresses.groupBy(address -> address).values().map(Vector::size).max().get();
        // 18 local links, and on average 17 links from remote data centres.
        assertTrue(most <= 18 + 2 * 17, "most links to one instance: " + most);
    }

    @Test
    void unreachableRemotePeerIsReplacedByAnotherOfItsDataCentre() {
        Vector<PeerReport> fleet = fleet(2, 3, 0);
        MembershipTable table = tableOf(fleet.head(), fleet);
        Set<String> remote =
                fleet.filter(p -> p.dataCentre().equals("dc1")).map(PeerReport::address).toSet();
        String first = LinkRule.addresses(table).intersect(remote).head();
        Set<String> second =
                LinkRule.addresses(table.withUnreachableAddress(first, 1)).intersect(remote);
        assertEquals(1, second.size());
        assertTrue(!second.contains(first));
    }

    @Test
    void lastInstanceIsWatcherEvenWhileItDrains() {
        PeerReport report = PeerReports.report("1", "dc", 1, 1);
        PeerReport draining =
                new PeerReport(
                        "1", "dc", report.address(), 1, 1, 1, PeerState.DRAINING, report.load());
        assertTrue(WatcherRule.isWatcher(MembershipTable.of(draining, Vector.empty(), 0)));
    }
}
