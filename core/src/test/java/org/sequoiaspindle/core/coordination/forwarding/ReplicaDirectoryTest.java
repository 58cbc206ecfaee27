package org.sequoiaspindle.core.coordination.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against losing live replicas in a store outage, and against keeping stopped replicas. */
final class ReplicaDirectoryTest {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ReplicaDirectory two =
            ReplicaDirectory.EMPTY.withAllRegistrations(
                    List.of(ForwardingSamples.entry("a", 1), ForwardingSamples.entry("b", 2)),
                    NEVER,
                    10_000);

    @Test
    void removedReplicaGetsNoMoreWork() {
        assertFalse(contains(two.withoutRegistration("servers/a", 3, 10_100), "a"));
    }

    @Test
    void olderRemovalIsIgnored() {
        ReplicaDirectory rewritten = two.withRegistration(ForwardingSamples.entry("a", 5));
        assertTrue(contains(rewritten.withoutRegistration("servers/a", 4, 10_100), "a"));
    }

    @Test
    void drainingReplicaGetsNoMoreWork() {
        ReplicaDirectory draining =
                two.withRegistration(
                        new ReplicaRegistration(
                                "servers/a", 3, ForwardingSamples.replica("a", 1, true)));
        assertEquals(1, draining.table().replicasOf("register").size());
    }

    @Test
    void entriesThatExpiredInAnOutageAreKeptUntilReplicasCanRegisterAgain() {
        ReplicaDirectory after =
                two.withAllRegistrations(List.of(ForwardingSamples.entry("a", 7)), 20_000, 20_010);
        assertTrue(contains(after, "b"));
        assertTrue(
                contains(
                        after.withoutStaleEntries(20_000 + ReplicaDirectory.REREGISTRATION_MS - 1),
                        "b"));
        assertFalse(
                contains(
                        after.withoutStaleEntries(20_000 + ReplicaDirectory.REREGISTRATION_MS),
                        "b"));
    }

    @Test
    void entryThatComesBackAfterAnOutageStays() {
        ReplicaDirectory after =
                two.withAllRegistrations(List.of(), 20_000, 20_010)
                        .withRegistration(ForwardingSamples.entry("b", 9));
        assertTrue(contains(after.withoutStaleEntries(30_000), "b"));
    }

    @Test
    void replicaThatStartsAgainUnderItsNameIsAnotherOne() {
        ReplicaDirectory reborn =
                two.withRegistration(
                        new ReplicaRegistration(
                                "servers/a", 3, ForwardingSamples.replica("a", 99, false)));
        assertFalse(reborn.table().contains(new ReplicaId("a", 1)));
        assertTrue(reborn.table().contains(new ReplicaId("a", 99)));
    }

    private static boolean contains(ReplicaDirectory directory, String name) {
        return directory.table().contains(new ReplicaId(name, 1));
    }
}
