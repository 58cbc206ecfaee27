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
 * Checks that every data centre has watchers and links, and that the removal of an instance
 * reassigns only the duties of that instance.
 */
final class MembershipRulesTest {

    private static Vector<PeerReport> allInstances(int dataCentres, int perDataCentre, int offset) {
        return Vector.range(0, dataCentres * perDataCentre)
                .map(i -> PeerReports.report("" + (offset + i), "dc" + i % dataCentres, 1, 1));
    }

    private static MembershipTable tableOf(PeerReport self, Vector<PeerReport> allInstances) {
        return PeerReports.table(self, allInstances.remove(self));
    }

    private static Set<String> watchers(Vector<PeerReport> allInstances) {
        return HashSet.ofAll(
                        allInstances.filter(
                                self -> WatcherRule.isWatcher(tableOf(self, allInstances))))
                .map(PeerReport::instance);
    }

    @Property(seed = "20261204", tries = 100)
    void everyDataCentreHasOneOrTwoWatchersWhenTablesAgree(
            @ForAll @IntRange(min = 1, max = 4) int dataCentres,
            @ForAll @IntRange(min = 1, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset) {
        Vector<PeerReport> allInstances = allInstances(dataCentres, perDataCentre, offset);
        Set<String> watchers = watchers(allInstances);
        allInstances
                .groupBy(PeerReport::dataCentre)
                .forEach(
                        (dataCentre, members) ->
                                assertEquals(
                                        Math.min(2, members.size()),
                                        members.count(m -> watchers.contains(m.instance()))));
    }

    @Property(seed = "20261204", tries = 100)
    void removalOfAnInstanceReassignsOnlyTheDutiesOfThatInstance(
            @ForAll @IntRange(min = 2, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset,
            @ForAll @IntRange(max = 11) int removedIndex) {
        Vector<PeerReport> allInstances = allInstances(2, perDataCentre, offset);
        PeerReport removedInstance = allInstances.get(removedIndex % allInstances.size());
        Vector<PeerReport> remainingInstances = allInstances.remove(removedInstance);
        assertTrue(
                watchers(remainingInstances)
                        .containsAll(watchers(allInstances).remove(removedInstance.instance())));
        for (PeerReport self : remainingInstances) {
            Set<String> linksBefore = LinkRule.addresses(tableOf(self, allInstances));
            Set<String> linksAfter = LinkRule.addresses(tableOf(self, remainingInstances));
            assertTrue(linksAfter.containsAll(linksBefore.remove(removedInstance.address())));
        }
    }

    @Property(seed = "20261204", tries = 50)
    void linksReachAllLocalPeersAndEveryDataCentre(
            @ForAll @IntRange(min = 1, max = 6) int dataCentres,
            @ForAll @IntRange(min = 1, max = 6) int perDataCentre,
            @ForAll @IntRange(max = 10_000) int offset) {
        Vector<PeerReport> allInstances = allInstances(dataCentres, perDataCentre, offset);
        for (PeerReport self : allInstances) {
            Set<String> links = LinkRule.addresses(tableOf(self, allInstances));
            Vector<PeerReport> linkedInstances =
                    allInstances.filter(peer -> links.contains(peer.address()));
            assertEquals(perDataCentre - 1 + dataCentres - 1, linkedInstances.size());
            assertEquals(
                    perDataCentre - 1,
                    linkedInstances.count(p -> p.dataCentre().equals(self.dataCentre())));
            assertEquals(
                    allInstances.map(PeerReport::dataCentre).toSet().remove(self.dataCentre()),
                    linkedInstances.map(PeerReport::dataCentre).toSet().remove(self.dataCentre()));
        }
    }

    @Test
    void noInstanceOfTheFullSystemGetsFarMoreThanItsShareOfLinks() {
        Vector<PeerReport> allInstances = allInstances(18, 19, 0);
        Vector<String> linkedAddresses =
                allInstances.flatMap(self -> LinkRule.addresses(tableOf(self, allInstances)));
        int maxLinks =
                linkedAddresses.groupBy(address -> address).values().map(Vector::size).max().get();
        // 18 local links, and on average 17 links from remote data centres.
        assertTrue(maxLinks <= 18 + 2 * 17, "most links to one instance: " + maxLinks);
    }

    @Test
    void unreachableRemotePeerIsReplacedByAnotherPeerOfTheSameDataCentre() {
        Vector<PeerReport> allInstances = allInstances(2, 3, 0);
        MembershipTable table = tableOf(allInstances.head(), allInstances);
        Set<String> remoteAddresses =
                allInstances
                        .filter(p -> p.dataCentre().equals("dc1"))
                        .map(PeerReport::address)
                        .toSet();
        String firstChoice = LinkRule.addresses(table).intersect(remoteAddresses).head();
        Set<String> secondChoice =
                LinkRule.addresses(table.withUnreachableAddress(firstChoice, 1))
                        .intersect(remoteAddresses);
        assertEquals(1, secondChoice.size());
        assertTrue(!secondChoice.contains(firstChoice));
    }

    @Test
    void lastInstanceIsWatcherEvenWhileItDrains() {
        PeerReport report = PeerReports.report("1", "dc", 1, 1);
        PeerReport drainingReport =
                new PeerReport(
                        "1", "dc", report.address(), 1, 1, 1, PeerState.DRAINING, report.load());
        assertTrue(WatcherRule.isWatcher(MembershipTable.of(drainingReport, Vector.empty(), 0)));
    }
}
