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
        PeerCluster cluster = PeerCluster.of(3, 4);
        for (String dataCentre : Vector.of("dc0", "dc1", "dc2")) {
            assertEquals(2, cluster.instancesIn(dataCentre).count(PeerCluster.Instance::isWatcher));
        }
        cluster.instances
                .filter(PeerCluster.Instance::isWatcher)
                .forEach(watcher -> watcher.publish(5, Vector.of("a", "b")));
        cluster.network.run(10);
        assertTrue(cluster.allHaveGeneration(5));
    }

    @Test
    void generationReachesOtherDataCentresByHeartbeats() {
        PeerCluster cluster = PeerCluster.of(3, 3);
        cluster.instance("dc0-1").publish(7, Vector.of("a"));
        cluster.network.run(3_000);
        assertTrue(cluster.allHaveGeneration(7));
    }

    @Test
    void generationNeverDecreasesWhenMessagesAreLostDuplicatedAndReordered() {
        PeerCluster cluster = PeerCluster.of(2, 4);
        cluster.network.delivery = (from, to, message) -> faultyDelivery(cluster.network, message);
        Map<String, Long> highestGenerations = new HashMap<>();
        for (long generation = 1; generation <= 30; generation++) {
            cluster.instances
                    .get((int) generation % 8)
                    .publish(generation, Vector.of("p" + generation));
            for (int step = 0; step < 20; step++) {
                cluster.network.run(50);
                cluster.instances.forEach(
                        instance -> assertNoGenerationDecreases(instance, highestGenerations));
            }
        }
        cluster.instances.forEach(
                instance ->
                        assertEquals(
                                Vector.ofAll(instance.adoptedGenerations).sorted(),
                                Vector.ofAll(instance.adoptedGenerations)));
        cluster.network.delivery = (from, to, message) -> List.of(1L);
        cluster.network.run(10_000);
        assertTrue(cluster.allHaveGeneration(30));
    }

    /**
     * Loses, duplicates and reorders all messages except the messages of the handshake. The loss or
     * reordering of a message of the handshake would close the link.
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
            PeerCluster.Instance instance, Map<String, Long> highestGenerations) {
        for (InstanceStatus status : instance.service.statuses()) {
            String view = instance.name + " of " + status.instance();
            long before = highestGenerations.merge(view, status.generation(), Math::max);
            assertEquals(before, status.generation(), view);
        }
    }

    @Test
    void silentLinkIsDetectedWithinThreeSecondsAndReplaced() {
        PeerCluster cluster = PeerCluster.of(1, 2);
        PeerCluster.Instance firstInstance = cluster.instance("dc0-0");
        assertEquals(1, firstInstance.service.reachablePeersIn("dc0").size());
        cluster.network.isBlocked = (from, to) -> true;
        cluster.network.run(3_200);
        assertTrue(firstInstance.service.reachablePeersIn("dc0").isEmpty());
        assertTrue(firstInstance.log.contains(LogEvent.PEER_SILENT));
        assertEquals("suspected", firstInstance.service.statuses().last().state());
        assertTrue(firstInstance.isWatcher() && cluster.instance("dc0-1").isWatcher());
        cluster.network.isBlocked = (from, to) -> false;
        cluster.network.run(6_000);
        assertEquals(1, firstInstance.service.reachablePeersIn("dc0").size());
        assertEquals("serving", firstInstance.service.statuses().last().state());
    }

    @Test
    void silentRemotePeerIsReplacedByAnotherPeerOfItsDataCentre() {
        PeerCluster cluster = PeerCluster.of(2, 3);
        PeerCluster.Instance instance = cluster.instance("dc0-0");
        String linkedPeer = instance.service.reachablePeersIn("dc1").head().instance();
        cluster.network.isBlocked = (from, to) -> from.equals(linkedPeer) || to.equals(linkedPeer);
        cluster.network.run(6_000);
        Vector<String> replacements =
                instance.service.reachablePeersIn("dc1").map(p -> p.instance());
        assertTrue(replacements.nonEmpty());
        assertFalse(replacements.contains(linkedPeer));
    }

    @Test
    void dataCentreCatchesUpAfterANetworkPartition() {
        PeerCluster cluster = PeerCluster.of(2, 3);
        cluster.network.isBlocked = (from, to) -> !from.substring(0, 3).equals(to.substring(0, 3));
        cluster.instance("dc0-0").publish(3, Vector.of("a"));
        cluster.network.run(120_000);
        assertTrue(cluster.instancesIn("dc0").forAll(instance -> instance.generation() == 3));
        assertTrue(cluster.instancesIn("dc1").forAll(instance -> instance.generation() == 0));
        cluster.network.isBlocked = (from, to) -> false;
        cluster.network.run(20_000);
        assertTrue(cluster.allHaveGeneration(3));
    }

    @Test
    void everyInstanceSeesAllInstancesAndHasOneLinkPerPeer() {
        PeerCluster cluster = PeerCluster.of(3, 3);
        cluster.network.run(5_000);
        for (PeerCluster.Instance instance : cluster.instances) {
            assertEquals(
                    cluster.instances.map(peer -> peer.name).toSet(),
                    instance.service
                            .statuses()
                            .filter(s -> s.state().equals("serving"))
                            .map(InstanceStatus::instance)
                            .toSet());
            Vector<String> linkedPeers =
                    Vector.of("dc0", "dc1", "dc2")
                            .flatMap(
                                    dc ->
                                            instance.service
                                                    .reachablePeersIn(dc)
                                                    .map(p -> p.instance()));
            assertEquals(linkedPeers.distinct(), linkedPeers);
            assertEquals(2, instance.service.reachablePeersIn(instance.dataCentre).size());
        }
    }

    @Test
    void oneLinkIsLeftWhenBothSidesDialAtOnce() {
        PeerCluster cluster = new PeerCluster();
        PeerCluster.Instance lowerInstance = cluster.start("dc0", 0, "secret");
        PeerCluster.Instance higherInstance = cluster.start("dc0", 1, "secret");
        // Ends before the first redial, which would hide that both links were closed.
        cluster.network.run(250);
        assertEquals(
                2,
                cluster.network.sentMessages.stream()
                        .filter(sent -> sent.message() instanceof PeerMessage.HelloProof)
                        .map(VirtualNetwork.SentMessage::from)
                        .filter(lowerInstance.name::equals)
                        .count());
        assertEquals(1, lowerInstance.service.reachablePeersIn("dc0").size());
        assertEquals(1, higherInstance.service.reachablePeersIn("dc0").size());
        assertFalse(lowerInstance.log.contains(LogEvent.PEER_SILENT));
    }

    @Test
    void restartedInstanceReplacesOldLinksBeforeTheirSilenceIsDetected() {
        PeerCluster cluster = PeerCluster.of(1, 3);
        cluster.network.isBlocked = (from, to) -> true;
        cluster.instance("dc0-2").service.close();
        cluster.network.run(10);
        cluster.network.isBlocked = (from, to) -> false;
        cluster.instances = cluster.instances.dropRight(1);
        PeerCluster.Instance restartedInstance = cluster.start("dc0", 2, "secret");
        cluster.network.run(500);
        assertEquals(2, restartedInstance.service.reachablePeersIn("dc0").size());
        assertEquals(2, cluster.instance("dc0-0").service.reachablePeersIn("dc0").size());
    }

    @Test
    void instanceWithTheWrongSecretIsRejected() {
        PeerCluster cluster = PeerCluster.of(1, 2);
        PeerCluster.Instance rejectedInstance = cluster.start("dc0", 9, "other");
        rejectedInstance.publish(99, Vector.of("a"));
        cluster.network.run(10_000);
        assertEquals(0, cluster.instance("dc0-0").generation());
        assertTrue(cluster.instance("dc0-0").service.membership().table().peer("dc0-9").isEmpty());
        assertTrue(cluster.instance("dc0-0").log.contains(LogEvent.PEER_REJECTED));
        assertEquals(1, rejectedInstance.service.statuses().size());
    }

    @Test
    void partsThatFillSeveralFramesAllArrive() {
        PeerCluster cluster = PeerCluster.of(1, 2);
        Vector<String> parts = Vector.range(0, 6).map(i -> i + "-part-" + "x".repeat(900_000));
        cluster.instance("dc0-0").publish(2, parts);
        cluster.network.run(100);
        assertTrue(
                parts.toSet()
                        .equals(
                                cluster.instance("dc0-1")
                                        .activeConfiguration
                                        .parts()
                                        .values()
                                        .toSet()));
    }

    @Test
    void leavingFlagReachesInstancesThatDoNotPollTheInstanceList() {
        PeerCluster cluster = PeerCluster.of(1, 4);
        InstanceListEntry.Kind kind = InstanceListEntry.Kind.ENDPOINT;
        cluster.endpoints = Vector.of(new InstanceListEntry(kind, "e:1", "dc0", true));
        cluster.network.run(6_100);
        assertTrue(
                cluster.instances.forAll(
                        instance ->
                                instance.service.membership().leavingEndpoints().isLeaving("e:1")));
        cluster.endpoints = Vector.of(new InstanceListEntry(kind, "e:1", "dc0", false));
        cluster.network.run(6_100);
        assertFalse(
                cluster.instances.exists(
                        instance ->
                                instance.service.membership().leavingEndpoints().isLeaving("e:1")));
    }

    @Test
    void instancesThatDoNotPollTheInstanceListReceiveItFromWatchers() {
        PeerCluster cluster = PeerCluster.of(2, 3);
        cluster.instances.forEach(
                instance ->
                        assertEquals(
                                HashSet.ofAll(cluster.instances.map(peer -> peer.name))
                                        .remove(instance.name),
                                instance.service
                                        .membership()
                                        .table()
                                        .peerAddresses()
                                        .map(c -> c.address())
                                        .toSet()));
    }
}
