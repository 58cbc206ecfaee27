package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.vavr.collection.HashMap;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Records what replicas say about themselves in the heads of their answers: load, pace, shutdown
 * and requests for a pause. Thread-safe.
 */
public record ReplicaAnswerRecorder(
        ReplicaStatuses statuses, PaceRecorder pace, MillisClock clock, EventLog events) {

    /** Creates a recorder for a deployment without the pace rule. */
    public ReplicaAnswerRecorder(ReplicaStatuses statuses, MillisClock clock, EventLog events) {
        this(statuses, new PaceRecorder(statuses, clock, false), clock, events);
    }

    /** Records an answer that is known to be the one to the latest request on its connection. */
    public void record(Replica replica, ReplicaResponseHead head) {
        ReplicaStatus status = statuses.statusOf(replica);
        long now = clock.now();
        head.load().ifPresent(load -> status.recordLoad(load, now));
        pace.recordHead(replica, head);
        recordLeaving(replica, head, now);
        head.pauseMillis()
                .ifPresent(
                        millis -> {
                            if (status.recordPause(millis, now)) {
                                logPause(replica, millis);
                            }
                        });
    }

    /**
     * Records an answer that may be a late copy of an earlier one. A shutdown is final, but the
     * load and a pause may be out of date.
     */
    public void recordPossibleCopy(Replica replica, ReplicaResponseHead head) {
        ReplicaStatus status = statuses.statusOf(replica);
        long now = clock.now();
        recordLeaving(replica, head, now);
        head.pauseMillis()
                .ifPresent(
                        millis -> {
                            if (status.recordFirstPause(millis, now)) {
                                logPause(replica, millis);
                            }
                        });
    }

    private void recordLeaving(Replica replica, ReplicaResponseHead head, long now) {
        if (head.leaving() && statuses.statusOf(replica).recordLeaving(now)) {
            events.record(
                    LogEvent.ENDPOINT_ANNOUNCED_LEAVING,
                    HashMap.of(
                            "endpoint", replica.id().toString(),
                            "service", replica.service(),
                            "status", head.status()));
        }
    }

    private void logPause(Replica replica, long millis) {
        events.record(
                LogEvent.ENDPOINT_PAUSED,
                HashMap.of(
                        "endpoint", replica.id().toString(),
                        "service", replica.service(),
                        "pauseMs", millis));
    }
}
