package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against losing live replicas in a store outage, and against keeping stopped replicas. */
final class ReplicaDirectoryTest {

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final ReplicaDirectory directoryOfTwo =
            ReplicaDirectory.EMPTY.withAllRegistrations(
                    List.of(
                            ForwardingSamples.registration("a", 1),
                            ForwardingSamples.registration("b", 2)),
                    LONG_AGO,
                    10_000);

    @Test
    void removedReplicaIsNotInTheTable() {
        assertFalse(
                contains(
                        directoryOfTwo.withoutRegistration("servers/a", 3, LONG_AGO, 10_100), "a"));
    }

    @Test
    void olderRemovalIsIgnored() {
        ReplicaDirectory rewritten =
                directoryOfTwo.withRegistration(ForwardingSamples.registration("a", 5));
        assertTrue(contains(rewritten.withoutRegistration("servers/a", 4, LONG_AGO, 10_100), "a"));
    }

    @Test
    void drainingReplicaIsNotInTheTable() {
        ReplicaDirectory draining =
                directoryOfTwo.withRegistration(
                        new ReplicaRegistration(
                                "servers/a", 3, ForwardingSamples.replica("a", 1, true)));
        assertEquals(1, draining.table().replicasOf("register").size());
    }

    @Test
    void expiredRegistrationsAreKeptUntilReplicasCanRegisterAgain() {
        ReplicaDirectory afterOutage =
                directoryOfTwo.withAllRegistrations(
                        List.of(ForwardingSamples.registration("a", 7)), 20_000, 20_010);
        assertTrue(contains(afterOutage, "b"));
        assertTrue(
                contains(
                        afterOutage.withoutStaleEntries(
                                20_000 + ReplicaDirectory.REREGISTRATION_MS - 1),
                        "b"));
        assertFalse(
                contains(
                        afterOutage.withoutStaleEntries(
                                20_000 + ReplicaDirectory.REREGISTRATION_MS),
                        "b"));
    }

    /** Guards against dropping all replicas for two seconds when the store comes back. */
    @Test
    void registrationWhoseExpiryIsReportedAfterAnOutageIsKept() {
        ReplicaDirectory afterOutage =
                directoryOfTwo.withoutRegistration("servers/a", 3, 20_000, 20_010);
        assertTrue(contains(afterOutage, "a"));
        assertFalse(
                contains(
                        afterOutage.withoutStaleEntries(
                                20_000 + ReplicaDirectory.REREGISTRATION_MS),
                        "a"));
    }

    @Test
    void replicaThatRegistersAgainAfterAnOutageIsKept() {
        ReplicaDirectory afterOutage =
                directoryOfTwo
                        .withAllRegistrations(List.of(), 20_000, 20_010)
                        .withRegistration(ForwardingSamples.registration("b", 9));
        assertTrue(contains(afterOutage.withoutStaleEntries(30_000), "b"));
    }

    @Test
    void replicaThatRestartsUnderTheSameNameIsAnotherReplica() {
        ReplicaDirectory restarted =
                directoryOfTwo.withRegistration(
                        new ReplicaRegistration(
                                "servers/a", 3, ForwardingSamples.replica("a", 99, false)));
        assertFalse(restarted.table().contains(new ReplicaId("a", 1)));
        assertTrue(restarted.table().contains(new ReplicaId("a", 99)));
    }

    private static boolean contains(ReplicaDirectory directory, String name) {
        return directory.table().contains(new ReplicaId(name, 1));
    }
}
