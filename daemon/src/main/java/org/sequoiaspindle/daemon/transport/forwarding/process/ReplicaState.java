package org.sequoiaspindle.daemon.transport.forwarding.process;

import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.forwarding.permit.ColdEndpointParts;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** The status of each replica, the rules on sending to it, and the recorder that keeps both. */
final class ReplicaState {

    private final ReplicaStatuses statuses;
    private final PaceMonitor paceMonitor;
    private final ReplicaAnswerRecorder answerRecorder;

    /** Creates the state before any answer, with the rules that the settings call for. */
    ReplicaState(
            ForwardingSettings settings,
            Registry registry,
            ColdEndpointParts coldParts,
            MillisClock clock,
            ForwardingMetrics metrics,
            EventLog events) {
        paceMonitor = new PaceMonitor(settings, this::statusOf, metrics, events);
        statuses =
                new ReplicaStatuses(
                        settings.dataCentre(),
                        SendRules.of(settings, registry, metrics)
                                .and(coldParts.sendRule())
                                .and(paceMonitor.sendRule()));
        answerRecorder = paceMonitor.answerRecorder(statuses, coldParts.statements(), clock);
    }

    ReplicaAnswerRecorder answerRecorder() {
        return answerRecorder;
    }

    /** Takes over the registered replicas; called from one thread. */
    void update(Registry registry, long now) {
        statuses.retainOnly(registry.replicas(), now);
        paceMonitor.update(registry, now);
    }

    private ReplicaStatus statusOf(Replica replica) {
        return statuses.statusOf(replica);
    }
}
