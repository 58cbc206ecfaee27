package org.sequoiaspindle.daemon.transport.forwarding.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.forwarding.replica.EndpointPace;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;

final class PaceRecorderTest {

    private static final long NOW = 50_000;
    private static final Replica REPLICA =
            new Replica(new ReplicaId("e", 1), "s", new HostPort("127.0.0.1", 1), "a", 4, false);

    private final ReplicaStatuses statuses = new ReplicaStatuses("a");

    @Test
    void serverErrorWithAGoodReportLowersThePace() {
        assertEquals(EndpointPace.MIN_CAPACITY, paceAfter(true, 500, false));
        assertEquals(EndpointPace.MIN_CAPACITY, paceAfter(true, 500, false));
    }

    @Test
    void refusalHalvesThePaceAndASuccessDoesNotLowerIt() {
        assertEquals(1, paceAfter(true, 200, false));
        assertEquals(0.5, paceAfter(true, 429, true));
    }

    @Test
    void answersThatSayNothingAboutTheReplicaLeaveThePace() {
        assertEquals(1, paceAfter(true, 421, true));
        assertEquals(1, paceAfter(true, 409, true));
        assertEquals(1, paceAfter(true, 404, false));
    }

    @Test
    void nothingIsRecordedWithoutTheSetting() {
        paceAfter(false, 500, false);
        paceAfter(false, 429, true);
        assertEquals(EndpointPace.USUAL, statuses.statusOf(REPLICA).pace());
    }

    private double paceAfter(boolean active, int status, boolean notExecuted) {
        PaceRecorder pace = new PaceRecorder(statuses, () -> NOW, active);
        ReplicaResponseHead head =
                new ReplicaResponseHead(
                        status,
                        Optional.empty(),
                        true,
                        notExecuted,
                        Optional.of(new ReplicaLoad(0, 0, 4, 100)),
                        false,
                        false,
                        OptionalLong.empty());
        new ReplicaAnswerRecorder(statuses, pace, (replica, millis) -> {}, () -> NOW, EventLog.NONE)
                .record(REPLICA, head);
        pace.recordEnd(REPLICA, head);
        return statuses.statusOf(REPLICA).pace().capacityAt(NOW);
    }
}
