package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.OptionalDouble;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.admission.AttemptResult;
import org.sequoiaspindle.core.coordination.forwarding.admission.UsualFirstByteTimes;
import org.sequoiaspindle.core.coordination.forwarding.replica.EndpointPace;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Records what answers and failed attempts say about the rate that replicas carry. Thread-safe.
 *
 * @param active whether the deployment uses the pace; without it nothing is recorded
 */
public record PaceRecorder(
        ReplicaStatuses statuses,
        UsualFirstByteTimes usualTimes,
        MillisClock clock,
        boolean active) {

    public PaceRecorder(ReplicaStatuses statuses, MillisClock clock, boolean active) {
        this(statuses, new UsualFirstByteTimes(), clock, active);
    }

    /**
     * Records the head of an answer. The report of a replica that fails can look well, so that only
     * a success makes the pace rise.
     */
    void recordHead(Replica replica, ReplicaResponseHead head) {
        long now = clock.now();
        update(
                replica,
                pace -> {
                    EndpointPace answered = head.isSuccess() ? pace.afterSoundAnswer(now) : pace;
                    return head.load()
                            .map(load -> answered.afterReport(load, now))
                            .orElse(answered);
                });
    }

    /** Records the first byte of a success, which took the given time from the sending. */
    public void recordFirstByte(Replica replica, String route, long promptTokens, long millis) {
        if (active) {
            recordRatio(replica, usualTimes.observe(route, promptTokens, millis));
        }
    }

    /** Records a wait that ended without an answer. */
    public void recordWait(Replica replica, String route, long promptTokens, long millis) {
        if (active) {
            recordRatio(replica, usualTimes.ratio(route, promptTokens, millis));
        }
    }

    private void recordRatio(Replica replica, OptionalDouble observed) {
        long now = clock.now();
        observed.ifPresent(ratio -> update(replica, pace -> pace.afterFirstByte(ratio, now)));
    }

    /**
     * Records the end of a complete answer. Of those without a success only refusals and server
     * errors say something about the replica.
     */
    public void recordEnd(Replica replica, ReplicaResponseHead head) {
        AttemptResult result = head.attemptResult();
        if (result == AttemptResult.NOT_EXECUTED && !head.isMisdirected()) {
            long now = clock.now();
            long pauseMillis = head.pauseMillis().orElse(0);
            update(replica, pace -> pace.afterRefusal(pauseMillis, now));
        } else if (result == AttemptResult.FAILED || result == AttemptResult.UNKNOWN) {
            recordFailure(replica);
        }
    }

    /** Records an attempt without a usable answer. */
    public void recordFailure(Replica replica) {
        long now = clock.now();
        update(replica, pace -> pace.afterFailure(now));
    }

    private void update(Replica replica, UnaryOperator<EndpointPace> change) {
        if (active) {
            statuses.statusOf(replica).updatePace(change);
        }
    }
}
