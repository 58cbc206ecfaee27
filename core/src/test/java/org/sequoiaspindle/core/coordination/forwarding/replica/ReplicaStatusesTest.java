package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

final class ReplicaStatusesTest {

    private static final long NOW = 10_000;

    private final ReplicaStatuses statuses = new ReplicaStatuses("a");
    private final Replica first = replica("r1", 1);
    private final Replica second = replica("r2", 1);

    @Test
    void replicaThatAnnouncedItsShutdownIsNoCandidate() {
        assertTrue(statuses.statusOf(first).recordLeaving(NOW));
        assertFalse(statuses.statusOf(first).recordLeaving(NOW + 1));
        assertEquals(List.of(second), candidates(NOW));
        assertEquals(List.of(second), statuses.withoutClosed(List.of(first, second), NOW));
    }

    @Test
    void replicaThatRestartedUnderItsNameIsACandidateAgain() {
        statuses.statusOf(first).recordLeaving(NOW);
        Replica restarted = replica("r1", 2);
        assertEquals(1, statuses.candidates(List.of(restarted), NOW).size());
    }

    @Test
    void announcementIsRememberedWhileTheRegistrationIsAwayForAMoment() {
        statuses.statusOf(first).recordLeaving(NOW);
        statuses.retainOnly(ReplicaTable.EMPTY, NOW + 1);
        assertEquals(List.of(second), candidates(NOW + 1));
    }

    @Test
    void announcementIsForgottenLongAfterTheRegistrationHasGone() {
        ReplicaStatus before = statuses.statusOf(first);
        before.recordLeaving(NOW);
        statuses.retainOnly(ReplicaTable.EMPTY, NOW + ReplicaAvailability.LEAVING_RETENTION_MS + 1);
        assertFalse(statuses.statusOf(first) == before);
    }

    @Test
    void replicaThatAskedForAPauseIsACandidateAgainWhenItEnds() {
        statuses.statusOf(first).recordPause(700, NOW);
        assertEquals(List.of(second), candidates(NOW + 699));
        assertEquals(List.of(first, second), candidates(NOW + 700));
    }

    @Test
    void shorterPauseDoesNotEndALongerOne() {
        statuses.statusOf(first).recordPause(5_000, NOW);
        assertFalse(statuses.statusOf(first).recordPause(100, NOW + 200));
        assertEquals(List.of(second), candidates(NOW + 4_999));
    }

    @Test
    void pauseIsLimited() {
        statuses.statusOf(first).recordPause(Long.MAX_VALUE, NOW);
        assertEquals(List.of(first, second), candidates(NOW + ReplicaAvailability.MAX_PAUSE_MS));
    }

    @Test
    void timeUntilAReplicaIsAvailableIsThatOfTheFirstWhichIsNotLeaving() {
        statuses.statusOf(first).recordPause(700, NOW);
        assertEquals(OptionalLong.of(0), untilAvailable());
        statuses.statusOf(second).recordPause(300, NOW);
        assertEquals(OptionalLong.of(300), untilAvailable());
        statuses.statusOf(second).recordLeaving(NOW);
        assertEquals(OptionalLong.of(700), untilAvailable());
        statuses.statusOf(first).recordLeaving(NOW);
        assertEquals(OptionalLong.empty(), untilAvailable());
    }

    private OptionalLong untilAvailable() {
        return statuses.millisUntilAvailable(List.of(first, second), NOW);
    }

    private List<Replica> candidates(long now) {
        return statuses.candidates(List.of(first, second), now).stream()
                .map(ReplicaSelector.Candidate::replica)
                .toList();
    }

    private static Replica replica(String name, long startedAt) {
        return new Replica(
                new ReplicaId(name, startedAt),
                "register",
                new HostPort("127.0.0.1", 1),
                "a",
                4,
                false);
    }
}
