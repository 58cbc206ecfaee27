package org.sequoiaspindle.core.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Checks that peers are suspected, revived and removed at the right time. */
final class MembershipTableTest {

    private static final PeerReport SELF = PeerReports.report("0", "dc", 1, 1);

    record Heartbeat(int instance, long incarnation, long sequence, long afterMillis) {}

    /**
     * Reference model: keeps every accepted heartbeat and searches all accepted heartbeats for each
     * query.
     */
    private static final class ReferenceModel {
        private final Map<Integer, List<long[]>> acceptedHeartbeats = new HashMap<>();

        void accept(Heartbeat beat, long now) {
            removeExpired(now);
            List<long[]> peerHeartbeats =
                    acceptedHeartbeats.computeIfAbsent(beat.instance(), id -> new ArrayList<>());
            boolean isOutdated =
                    peerHeartbeats.stream()
                            .anyMatch(
                                    k ->
                                            k[0] > beat.incarnation()
                                                    || k[0] == beat.incarnation()
                                                            && k[1] >= beat.sequence());
            if (!isOutdated) {
                peerHeartbeats.add(new long[] {beat.incarnation(), beat.sequence(), now});
            }
        }

        void removeExpired(long now) {
            acceptedHeartbeats
                    .values()
                    .removeIf(
                            peerHeartbeats ->
                                    peerHeartbeats.get(peerHeartbeats.size() - 1)[2]
                                            < now - 60_000);
        }

        TreeSet<String> heardSince(long earliest) {
            TreeSet<String> instances = new TreeSet<>(List.of("0"));
            acceptedHeartbeats.forEach(
                    (id, peerHeartbeats) -> {
                        if (peerHeartbeats.stream().anyMatch(k -> k[2] >= earliest)) {
                            instances.add(String.valueOf(id));
                        }
                    });
            return instances;
        }
    }

    @Provide
    Arbitrary<List<Heartbeat>> heartbeats() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.longs().between(1, 20),
                        Arbitraries.of(0L, 1L, 999L, 2_999L, 3_000L, 3_001L, 20_000L, 60_001L))
                .as(Heartbeat::new)
                .list()
                .ofMaxSize(60);
    }

    @Property(seed = "20261204")
    void peersAreSuspectedAndRemovedAsInTheReferenceModel(
            @ForAll("heartbeats") List<Heartbeat> heartbeats) {
        ReferenceModel model = new ReferenceModel();
        MembershipTable table = MembershipTable.of(SELF, Vector.empty(), 0);
        long now = 0;
        for (Heartbeat beat : heartbeats) {
            now += beat.afterMillis();
            String id = String.valueOf(beat.instance());
            table =
                    table.withHeartbeat(
                            PeerReports.report(id, "dc", beat.incarnation(), beat.sequence()), now);
            model.accept(beat, now);
            assertEquals(model.heardSince(now - 3_000), ids(table.liveLocal()));
            assertEquals(model.heardSince(now - 60_000), ids(table.instances()));
        }
    }

    private static TreeSet<String> ids(Vector<Peer> peers) {
        return new TreeSet<>(peers.map(Peer::instance).asJava());
    }

    @Test
    void delayedHeartbeatDoesNotReviveASilentPeer() {
        MembershipTable table =
                PeerReports.table(SELF, Vector.of(PeerReports.report("1", "dc", 1, 5)));
        MembershipTable laterTable =
                table.withHeartbeat(PeerReports.report("1", "dc", 1, 4), 10_000);
        assertEquals(1, laterTable.liveLocal().size());
    }

    @Test
    void heartbeatOfARestartedPeerIsAcceptedAlthoughItsSequenceRestarts() {
        MembershipTable table =
                PeerReports.table(SELF, Vector.of(PeerReports.report("1", "dc", 1, 500)));
        MembershipTable laterTable =
                table.withHeartbeat(PeerReports.report("1", "dc", 2, 1), 10_000);
        assertEquals(2, laterTable.liveLocal().size());
        MembershipTable afterOutdated =
                laterTable.withHeartbeat(PeerReports.report("1", "dc", 1, 501), 10_001);
        assertEquals(2, afterOutdated.peer("1").get().report().incarnation());
    }

    @Test
    void peerAddressesIncludeConfiguredAndListedAddresses() {
        MembershipTable table =
                MembershipTable.of(SELF, Vector.of("a:1", SELF.address()), 0)
                        .withListedAddresses(Vector.of(new PeerAddress("b:1", Option.of("dc2"))));
        assertEquals(Vector.of("a:1", "b:1"), table.peerAddresses().map(PeerAddress::address));
        assertEquals(
                Vector.of("a:1"),
                table.withListedAddresses(Vector.empty())
                        .peerAddresses()
                        .map(PeerAddress::address));
    }

    @Test
    void relayedSuspicionAppliesWithoutANewerReport() {
        PeerReport remoteReport = PeerReports.report("1", "dc2", 1, 5);
        MembershipTable table =
                MembershipTable.of(SELF, Vector.empty(), 0)
                        .withRelayedReport(remoteReport, false, 0, 0);
        assertEquals(1, table.advancedTo(10_000).liveIn("dc2").size());
        assertTrue(
                table.withRelayedReport(remoteReport, true, 3_100, 4_000).liveIn("dc2").isEmpty());
        PeerReport directReport = PeerReports.report("1", "dc2", 1, 6);
        MembershipTable directTable = table.withHeartbeat(directReport, 1);
        assertFalse(
                directTable.withRelayedReport(directReport, true, 0, 2).liveIn("dc2").isEmpty());
    }
}
