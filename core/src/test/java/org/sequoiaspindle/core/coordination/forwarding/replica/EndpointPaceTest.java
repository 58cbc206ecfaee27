package org.sequoiaspindle.core.coordination.forwarding.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.admission.UsualFirstByteTimes;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

final class EndpointPaceTest {

    private static final long NOW = 50_000;
    private static final ReplicaLoad SLOW = new ReplicaLoad(1, 0, 4, 500);

    @Test
    void singleOddReportLowersThePaceLessThanSeveral() {
        EndpointPace once = EndpointPace.USUAL.afterReport(SLOW, NOW);
        EndpointPace twice = once.afterReport(SLOW, NOW + 10);
        assertTrue(once.capacityAt(NOW) < 0.5);
        assertTrue(twice.capacityAt(NOW + 10) < once.capacityAt(NOW));
    }

    @Test
    void manyAnswersAtOnceDoNotRaiseThePaceFasterThanOne() {
        EndpointPace pace = EndpointPace.USUAL.afterRefusal(0, NOW).afterSoundAnswer(NOW);
        for (int i = 0; i < 20; i++) {
            pace = pace.afterSoundAnswer(NOW);
        }
        assertEquals(0.5, pace.capacityAt(NOW));
        assertEquals(0.75, pace.capacityAt(NOW + 1_000));
    }

    @Test
    void replicaThatNobodyAsksIsUsedAgainEvenAfterManyFailures() {
        EndpointPace pace = EndpointPace.USUAL;
        for (int i = 0; i < 50; i++) {
            pace = pace.afterFailure(NOW + i);
        }
        assertEquals(EndpointPace.MIN_CAPACITY, pace.capacityAt(NOW + 10_000));
        assertEquals(1, pace.capacityAt(NOW + 50 + 16_000 + EndpointPace.IDLE_RISE_MS));
    }

    @Test
    void paceDoesNotRiseWhileTheReplicaAskedForAPause() {
        EndpointPace pace = EndpointPace.USUAL.afterRefusal(30_000, NOW);
        assertEquals(0.5, pace.capacityAt(NOW + 30_000));
    }

    @Test
    void soundAnswersOfASlowMachineDoNotRaiseItsPaceBeyondWhatItReports() {
        EndpointPace pace = EndpointPace.USUAL;
        for (int i = 0; i < 100; i++) {
            pace = pace.afterSoundAnswer(NOW + i * 100).afterReport(SLOW, NOW + i * 100);
        }
        assertEquals(0.25, pace.capacityAt(NOW + 9_900), 0.01);
    }

    @Test
    void longWaitCountsOnlyOnceTheUsualOneIsKnown() {
        UsualFirstByteTimes times = new UsualFirstByteTimes();
        IntStream.range(0, 10).forEach(i -> assertTrue(times.observe("r", 90, 100).isEmpty()));
        assertEquals(4, times.observe("r", 90, 400).orElseThrow(), 0.01);
        assertTrue(times.ratio("r", 5_000, 400).isEmpty());
    }

    @Test
    void replicaRegisteredLaterStartsSlowlyAndOneOfTheFirstListingDoesNot() {
        AtomicReference<ReplicaStatuses> statuses = new AtomicReference<>();
        PaceRule rule = new PaceRule("one", replica -> statuses.get().statusOf(replica));
        statuses.set(new ReplicaStatuses("a", rule));
        rule.update(ReplicaTable.EMPTY, NOW);
        Replica added =
                new Replica(
                        new ReplicaId("e", 1), "s", new HostPort("127.0.0.1", 1), "a", 4, false);
        ReplicaTable table = new ReplicaTable(List.of(added));
        assertEquals(EndpointPace.START_CAPACITY, rule.termsFor(added, NOW).capacity());
        rule.update(table, NOW);
        assertEquals(EndpointPace.START_CAPACITY, rule.termsFor(added, NOW).capacity());
        assertEquals(1, rule.termsFor(added, NOW + 6_000).capacity());
        PaceRule restarted = new PaceRule("two", replica -> new ReplicaStatus());
        restarted.update(table, NOW);
        assertEquals(1, restarted.termsFor(added, NOW).capacity());
    }
}
