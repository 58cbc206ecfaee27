package org.sequoiaspindle.daemon.transport.forwarding;

import io.vavr.collection.HashMap;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Records what replicas say about themselves in the heads of their answers: load, shutdown and
 * requests for a pause. Thread-safe.
 */
record ReplicaAnswerRecorder(ReplicaStatuses statuses, MillisClock clock, EventLog events) {

    /** Records an answer that is known to be the replica's. */
    void record(Replica replica, ReplicaResponseHead head) {
        ReplicaStatus status = statuses.statusOf(replica);
        long now = clock.now();
        head.load().ifPresent(load -> status.recordLoad(load, now));
        if (head.leaving() && status.recordLeaving(now)) {
            events.record(
                    LogEvent.ENDPOINT_ANNOUNCED_LEAVING,
                    HashMap.of(
                            "endpoint", replica.id().toString(),
                            "service", replica.service(),
                            "status", head.status()));
        }
        head.pauseMillis()
                .ifPresent(
                        millis -> {
                            if (status.recordPause(millis, now)) {
                                events.record(
                                        LogEvent.ENDPOINT_PAUSED,
                                        HashMap.of(
                                                "endpoint", replica.id().toString(),
                                                "service", replica.service(),
                                                "pauseMs", millis));
                            }
                        });
    }
}
