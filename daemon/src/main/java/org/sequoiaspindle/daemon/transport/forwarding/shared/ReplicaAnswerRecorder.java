package org.sequoiaspindle.daemon.transport.forwarding.shared;

import io.vavr.collection.HashMap;
import java.util.function.BiConsumer;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/**
 * Records what replicas say about themselves in the heads of their answers: load, pace, shutdown,
 * cold time and requests for a pause. Thread-safe.
 *
 * @param coldStatements receives the time for which a replica states that it stays cold
 */
public record ReplicaAnswerRecorder(
        ReplicaStatuses statuses,
        PaceRecorder pace,
        BiConsumer<ReplicaId, Long> coldStatements,
        MillisClock clock,
        EventLog events) {

    /**
     * Creates a recorder for a deployment without the pace rule and the limit for cold replicas.
     */
    public ReplicaAnswerRecorder(ReplicaStatuses statuses, MillisClock clock, EventLog events) {
        this(
                statuses,
                new PaceRecorder(statuses, clock, false),
                (replica, millis) -> {},
                clock,
                events);
    }

    /** Records an answer that is known to be the one to the latest request on its connection. */
    public void record(Replica replica, ReplicaResponseHead head) {
        ReplicaStatus status = statuses.statusOf(replica);
        long now = clock.now();
        head.load().ifPresent(load -> status.recordLoad(load, now));
        pace.recordHead(replica, head);
        recordLeaving(replica, head, now);
        recordCold(replica, head);
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
        recordCold(replica, head);
        head.pauseMillis()
                .ifPresent(
                        millis -> {
                            if (status.recordFirstPause(millis, now)) {
                                logPause(replica, millis);
                            }
                        });
    }

    /** A late copy can only make the cold time longer, which is safe. */
    private void recordCold(Replica replica, ReplicaResponseHead head) {
        if (head.coldMillis() > 0) {
            coldStatements.accept(replica.id(), head.coldMillis());
        }
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
