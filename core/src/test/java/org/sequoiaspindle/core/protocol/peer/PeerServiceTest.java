package org.sequoiaspindle.core.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * Tests communication between instances under message loss, delay, duplication, silent links and
 * network partitions.
 */
final class PeerServiceTest {

    @Test
    void generationReachesAllInstancesThroughTwoWatchers() {
        PeerFleet fleet = PeerFleet.of(3, 4);
        for (String dataCentre : Vector.of("dc0", "dc1", "dc2")) {
            assertEquals(2, fleet.nodesIn(dataCentre).count(PeerFleet.Node::watches));
        }
        fleet.nodes.filter(PeerFleet.Node::watches).forEach(w -> w.publish(5, Vector.of("a", "b")));
        fleet.network.run(10);
        assertTrue(fleet.allHaveGeneration(5));
    }

    @Test
    void generationReachesDataCentresWithoutTheStoreByHeartbeats() {
        PeerFleet fleet = PeerFleet.of(3, 3);
        fleet.node("dc0-1").publish(7, Vector.of("a"));
        fleet.network.run(3_000);
        assertTrue(fleet.allHaveGeneration(7));
    }

    @Test
    void generationNeverDecreasesWhenMessagesAreLostDuplicatedAndReordered() {
        PeerFleet fleet = PeerFleet.of(2, 4);
        fleet.network.delivery = (from, to, message) -> faultyDelivery(fleet.network, message);
        Map<String, Long> highest = new HashMap<>();
        for (long generation = 1; generation <= 30; generation++) {
            fleet.nodes.get((int) generation % 8).publish(generation, Vector.of("p" + generation));
            for (int step = 0; step < 20; step++) {
                fleet.network.run(50);
                fleet.nodes.forEach(node -> assertNoGenerationDecreases(node, highest));
            }
        }
        fleet.nodes.forEach(
                node ->
                        assertEquals(
                                Vector.ofAll(node.adopted).sorted(), Vector.ofAll(node.adopted)));
        fleet.network.delivery = (from, to, message) -> List.of(1L);
        fleet.network.run(10_000);
        assertTrue(fleet.allHaveGeneration(30));
    }

    /**
     * Loses, duplicates and reorders all messages except those of the handshake, whose loss or
     * reordering closes the link.
     */
    private static List<Long> faultyDelivery(VirtualNetwork network, PeerMessage message) {
        if (message instanceof PeerMessage.Hello || message instanceof PeerMessage.HelloProof) {
            return List.of(1L);
        }
        // Longer than the handshake takes: a transport never lets a message overtake the handshake.
        long delay = 10 + network.random.nextInt(2_000);
        int kind = network.random.nextInt(10);
        return kind < 2 ? List.of() : kind < 4 ? List.of(delay, delay + 700) : List.of(delay);
    }

    private static void assertNoGenerationDecreases(
            PeerFleet.Node node, Map<String, Long> highest) {
        for (InstanceStatus status : node.service.statuses()) {
            String view = node.name + " of " + status.instance();
            long before = highest.merge(view, status.generation(), Math::max);
            assertEquals(before, status.generation(), view);
        }
    }

    @Test
    void silentLinkIsDetectedWithinThreeSecondsAndReplaced() {
        PeerFleet fleet = PeerFleet.of(1, 2);
        PeerFleet.Node first = fleet.node("dc0-0");
        assertEquals(1, first.service.linkedPeersIn("dc0").size());
        fleet.network.blocked = (from, to) -> true;
        fleet.network.run(3_200);
        assertTrue(first.service.linkedPeersIn("dc0").isEmpty());
        assertTrue(first.log.contains(LogEvent.PEER_SILENT));
        assertEquals("suspected", first.service.statuses().last().state());
        assertTrue(first.watches() && fleet.node("dc0-1").watches());
        fleet.network.blocked = (from, to) -> false;
        fleet.network.run(6_000);
        assertEquals(1, first.service.linkedPeersIn("dc0").size());
        assertEquals("serving", first.service.statuses().last().state());
    }

    @Test
    void silentRemotePeerIsReplacedByAnotherOfItsDataCentre() {
        PeerFleet fleet = PeerFleet.of(2, 3);
        PeerFleet.Node node = fleet.node("dc0-0");
        String linked = node.service.linkedPeersIn("dc1").head().instance();
        fleet.network.blocked = (from, to) -> from.equals(linked) || to.equals(linked);
        fleet.network.run(6_000);
        Vector<String> replacements = node.service.linkedPeersIn("dc1").map(p -> p.instance());
        assertTrue(replacements.nonEmpty());
        assertFalse(replacements.contains(linked));
    }

    @Test
    void dataCentreCatchesUpAfterANetworkPartition() {
        PeerFleet fleet = PeerFleet.of(2, 3);
        fleet.network.blocked = (from, to) -> !from.substring(0, 3).equals(to.substring(0, 3));
        fleet.node("dc0-0").publish(3, Vector.of("a"));
        fleet.network.run(120_000);
        assertTrue(fleet.nodesIn("dc0").forAll(node -> node.generation() == 3));
        assertTrue(fleet.nodesIn("dc1").forAll(node -> node.generation() == 0));
        fleet.network.blocked = (from, to) -> false;
        fleet.network.run(20_000);
        assertTrue(fleet.allHaveGeneration(3));
    }

    @Test
    void everyInstanceSeesEveryOtherOverOneLinkPerPair() {
        PeerFleet fleet = PeerFleet.of(3, 3);
        fleet.network.run(5_000);
        for (PeerFleet.Node node : fleet.nodes) {
            assertEquals(
                    fleet.nodes.map(n -> n.name).toSet(),
                    node.service
                            .statuses()
                            .filter(s -> s.state().equals("serving"))
                            .map(InstanceStatus::instance)
                            .toSet());
            Vector<String> linked =
                    Vector.of("dc0", "dc1", "dc2")
                            .flatMap(dc -> node.service.linkedPeersIn(dc).map(p -> p.instance()));
            assertEquals(linked.distinct(), linked);
            assertEquals(2, node.service.linkedPeersIn(node.dataCentre).size());
        }
    }

    @Test
    void oneLinkIsLeftWhenBothSidesDialAtOnce() {
        PeerFleet fleet = new PeerFleet();
        PeerFleet.Node lower = fleet.start("dc0", 0, "secret");
        PeerFleet.Node higher = fleet.start("dc0", 1, "secret");
        // Ends before the first redial, which would hide that both links were closed.
        fleet.network.run(250);
        assertEquals(
                2,
                fleet.network.sent.stream()
                        .filter(sent -> sent.message() instanceof PeerMessage.HelloProof)
                        .map(VirtualNetwork.Sent::from)
                        .filter(lower.name::equals)
                        .count());
        assertEquals(1, lower.service.linkedPeersIn("dc0").size());
        assertEquals(1, higher.service.linkedPeersIn("dc0").size());
        assertFalse(lower.log.contains(LogEvent.PEER_SILENT));
    }

    @Test
    void restartedInstanceReplacesItsOldLinksBeforeTheyAreDetectedAsSilent() {
        PeerFleet fleet = PeerFleet.of(1, 3);
        fleet.network.blocked = (from, to) -> true;
        fleet.node("dc0-2").service.close();
        fleet.network.run(10);
        fleet.network.blocked = (from, to) -> false;
        fleet.nodes = fleet.nodes.dropRight(1);
        PeerFleet.Node restarted = fleet.start("dc0", 2, "secret");
        fleet.network.run(500);
        assertEquals(2, restarted.service.linkedPeersIn("dc0").size());
        assertEquals(2, fleet.node("dc0-0").service.linkedPeersIn("dc0").size());
    }

    @Test
    void instanceWithTheWrongSecretIsRejected() {
        PeerFleet fleet = PeerFleet.of(1, 2);
        PeerFleet.Node stranger = fleet.start("dc0", 9, "other");
        stranger.publish(99, Vector.of("a"));
        fleet.network.run(10_000);
        assertEquals(0, fleet.node("dc0-0").generation());
        assertTrue(fleet.node("dc0-0").service.membership().table().peer("dc0-9").isEmpty());
        assertTrue(fleet.node("dc0-0").log.contains(LogEvent.PEER_REJECTED));
        assertEquals(1, stranger.service.statuses().size());
    }

    @Test
    void partsThatFillSeveralFramesAllArrive() {
        PeerFleet fleet = PeerFleet.of(1, 2);
        Vector<String> parts = Vector.range(0, 6).map(i -> i + "-part-" + "x".repeat(900_000));
        fleet.node("dc0-0").publish(2, parts);
        fleet.network.run(100);
        assertTrue(
                parts.toSet()
                        .equals(fleet.node("dc0-1").activeConfiguration.parts().values().toSet()));
    }

    @Test
    void leavingFlagOfTheListReachesInstancesThatDoNotPollIt() {
        PeerFleet fleet = PeerFleet.of(1, 4);
        InstanceListEntry.Kind kind = InstanceListEntry.Kind.ENDPOINT;
        fleet.endpoints = Vector.of(new InstanceListEntry(kind, "e:1", "dc0", true));
        fleet.network.run(6_100);
        assertTrue(fleet.nodes.forAll(n -> n.service.membership().leaving().isLeaving("e:1")));
        fleet.endpoints = Vector.of(new InstanceListEntry(kind, "e:1", "dc0", false));
        fleet.network.run(6_100);
        assertFalse(fleet.nodes.exists(n -> n.service.membership().leaving().isLeaving("e:1")));
    }

    @Test
    void instancesThatDoNotPollThePlatformsListLearnItFromWatchers() {
        PeerFleet fleet = PeerFleet.of(2, 3);
        fleet.nodes.forEach(
                node ->
                        assertEquals(
                                HashSet.ofAll(fleet.nodes.map(n -> n.name)).remove(node.name),
                                node.service
                                        .membership()
                                        .table()
                                        .peerAddresses()
                                        .map(c -> c.address())
                                        .toSet()));
    }
}
