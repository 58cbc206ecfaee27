package org.sequoiaspindle.daemon.transport.forwarding.process;

import io.vavr.collection.HashMap;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.replica.EndpointPace;
import org.sequoiaspindle.core.coordination.forwarding.replica.PaceRule;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatus;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendRule;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.forwarding.shared.PaceRecorder;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ReplicaAnswerRecorder;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** Runs the pace rule of a deployment that uses it, and reports the paces of replicas. */
final class PaceMonitor {

    /** Share below which a replica is reported as slowed. */
    private static final double SLOWED_CAPACITY = 0.5;

    /** Share from which a replica is reported as back. */
    private static final double RESTORED_CAPACITY = 0.9;

    private final boolean active;
    private final PaceRule rule;
    private final Function<Replica, ReplicaStatus> statuses;
    private final EventLog events;
    private final AtomicReference<List<ForwardingMetrics.EndpointPaceSample>> samples =
            new AtomicReference<>(List.of());
    private final AtomicReference<Set<ReplicaId>> slowedReplicas = new AtomicReference<>(Set.of());

    /**
     * Creates a monitor, which does nothing unless the settings ask for the pace rule.
     *
     * @param statuses returns the status of a replica
     */
    PaceMonitor(
            ForwardingSettings settings,
            Function<Replica, ReplicaStatus> statuses,
            ForwardingMetrics metrics,
            EventLog events) {
        this.active = settings.endpointRules().pace();
        this.rule = new PaceRule(settings.instance(), statuses);
        this.statuses = statuses;
        this.events = events;
        if (active) {
            metrics.exposePaces(samples::get);
        }
    }

    /** Returns the rule under which requests are sent. */
    SendRule sendRule() {
        return active ? rule : SendRule.UNRESTRICTED;
    }

    /** Returns a recorder whose observations the rule uses. */
    ReplicaAnswerRecorder answerRecorder(
            ReplicaStatuses all, BiConsumer<ReplicaId, Long> coldStatements, MillisClock clock) {
        return new ReplicaAnswerRecorder(
                all, new PaceRecorder(all, clock, active), coldStatements, clock, events);
    }

    /** Takes over the registered replicas and reports changes; called from one thread. */
    void update(Registry registry, long now) {
        if (!active || !registry.isInitialised()) {
            return;
        }
        ReplicaTable table = registry.replicas();
        rule.update(table, now);
        samples.set(
                table.all().stream()
                        .map(
                                replica ->
                                        new ForwardingMetrics.EndpointPaceSample(
                                                replica.id().name(),
                                                replica.service(),
                                                rule.termsFor(replica, now).capacity()))
                        .filter(sample -> sample.capacity() < 1)
                        .toList());
        slowedReplicas.set(reportChanges(table, now));
    }

    private Set<ReplicaId> reportChanges(ReplicaTable table, long now) {
        Set<ReplicaId> before = slowedReplicas.get();
        Collection<Replica> slowed =
                table.all().stream()
                        .filter(replica -> isSlowed(replica, before::contains, now))
                        .toList();
        slowed.stream()
                .filter(replica -> !before.contains(replica.id()))
                .forEach(replica -> reportSlowed(replica, now));
        Set<ReplicaId> after = slowed.stream().map(Replica::id).collect(Collectors.toSet());
        before.stream()
                .filter(id -> !after.contains(id))
                .forEach(
                        id ->
                                events.record(
                                        LogEvent.ENDPOINT_PACE_RESTORED,
                                        HashMap.of("endpoint", id.toString())));
        return Set.copyOf(after);
    }

    /** A replica that starts slowly has not been slowed by what its answers showed. */
    private boolean isSlowed(Replica replica, Predicate<ReplicaId> wasSlowed, long now) {
        EndpointPace pace = statuses.apply(replica).pace();
        double limit = wasSlowed.test(replica.id()) ? RESTORED_CAPACITY : SLOWED_CAPACITY;
        return pace.fallen() && pace.capacityAt(now) < limit;
    }

    private void reportSlowed(Replica replica, long now) {
        EndpointPace pace = statuses.apply(replica).pace();
        events.record(
                LogEvent.ENDPOINT_SLOWED,
                HashMap.of(
                        "endpoint", replica.id().toString(),
                        "service", replica.service(),
                        "capacity", pace.capacityAt(now),
                        "slowdown", pace.slowdown(),
                        "failures", pace.failures()));
    }
}
