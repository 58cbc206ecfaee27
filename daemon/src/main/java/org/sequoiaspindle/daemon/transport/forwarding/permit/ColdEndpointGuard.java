package org.sequoiaspindle.daemon.transport.forwarding.permit;

import io.vavr.collection.HashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.ColdEndpointRule;
import org.sequoiaspindle.core.coordination.forwarding.permit.IssueRate;
import org.sequoiaspindle.core.coordination.forwarding.permit.LeaseHold;
import org.sequoiaspindle.core.protocol.forwarding.ColdEndpointTracker;
import org.sequoiaspindle.core.protocol.forwarding.IssuerDirectory;
import org.sequoiaspindle.core.protocol.forwarding.IssuerRoles;
import org.sequoiaspindle.core.protocol.forwarding.PermitReply;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ServiceSpec;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/**
 * Limits what cold replicas receive: joins the state of the replicas, the roles of this instance
 * and the requests for permits. A deployment without the limit has none. Thread-safe.
 */
public final class ColdEndpointGuard {

    /** Interval at which replicas and instances that have gone are forgotten. */
    private static final long CLEANUP_INTERVAL_MS = 5_000;

    private final IssueRate rate;
    private final Registry registry;
    private final EventLoopWorker worker;
    private final EventLog events;
    private final ForwardingMetrics metrics;
    private final ColdEndpointTracker tracker;
    private final IssuerDirectory directory = new IssuerDirectory();
    private final IssuerRoles roles;
    private final PermitClient client;
    private volatile ScheduledFuture<?> checks;
    private final Set<String> reportedServices = ConcurrentHashMap.newKeySet();

    /**
     * Creates a guard without any role.
     *
     * @param lease returns the lease of this instance, under which it holds its roles
     */
    public ColdEndpointGuard(
            ForwardingSettings settings,
            ForwardingSettings.ColdRate limit,
            ColdEndpointTracker tracker,
            Registry registry,
            Store store,
            Supplier<Optional<LeaseHold>> lease,
            EventLoopWorker worker,
            MillisClock clock,
            ForwardingMetrics metrics,
            EventLog events) {
        rate = new IssueRate(limit.factor(), limit.slack());
        this.tracker = tracker;
        this.registry = registry;
        this.worker = worker;
        this.metrics = metrics;
        this.events = events;
        Supplier<ClockReading> clocks = clocks(clock);
        roles =
                new IssuerRoles(
                        new IssuerRoles.Environment(
                                settings.instance(),
                                UUID.randomUUID().toString(),
                                () -> registry.instances().keySet(),
                                lease,
                                this::coldReplicas,
                                replica -> registry.replicas().contains(replica.id()),
                                this::spacingMillis,
                                clocks),
                        directory,
                        store,
                        events);
        client =
                new PermitClient(
                        settings.instance(),
                        this::issue,
                        directory,
                        tracker,
                        registry,
                        worker,
                        clocks,
                        metrics);
        metrics.countColdEndpoints(() -> tracker.count(registry.replicas()));
    }

    /** Returns a source of readings of the monotonic clock together with the wall clock. */
    public static Supplier<ClockReading> clocks(MillisClock clock) {
        MillisClock wall = MillisClock.wall();
        return () -> new ClockReading(clock.now(), wall.now());
    }

    /** Returns the connections with the other components. */
    public ColdEndpointParts parts() {
        return new ColdEndpointParts(
                new ColdEndpointRule(tracker::coldUntil),
                client,
                this::issue,
                tracker::coldStated,
                tracker::dataCentreRestored,
                List.of(directory),
                this::start,
                () -> worker.loop().execute(this::release));
    }

    private void start() {
        worker.loop()
                .scheduleWithFixedDelay(
                        this::removeUnregistered,
                        CLEANUP_INTERVAL_MS,
                        CLEANUP_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        checks =
                worker.loop()
                        .scheduleWithFixedDelay(
                                roles::check,
                                IssuerRoles.CHECK_INTERVAL_MS,
                                IssuerRoles.CHECK_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
    }

    /** Gives up the roles and claims no more, so that other instances can take them. */
    private void release() {
        checks.cancel(false);
        roles.release();
    }

    private PermitReply issue(String replica) {
        PermitReply reply = roles.issue(replica);
        if (reply.granted()) {
            metrics.recordPermit("issued");
        }
        return reply;
    }

    private void removeUnregistered() {
        client.removeUnregistered();
        tracker.retainOnly(registry.replicas());
    }

    /** Returns the replicas that need an issuer; cold replicas of stages receive nothing. */
    private List<Replica> coldReplicas() {
        return registry.replicas().all().stream()
                .filter(tracker::isCold)
                .filter(replica -> spec(replica).filter(s -> s.batch().isEmpty()).isPresent())
                .filter(replica -> spacingMillis(replica).isPresent())
                .toList();
    }

    private Optional<ServiceSpec> spec(Replica replica) {
        return registry.configuration().service(replica.service());
    }

    private OptionalLong spacingMillis(Replica replica) {
        Optional<ColdSpec> cold = spec(replica).flatMap(ServiceSpec::cold);
        if (cold.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong spacing = rate.spacingMillis(cold.get());
        if (rate.isLowered(cold.get()) && reportedServices.add(replica.service())) {
            events.record(
                    LogEvent.COLD_RATE_LOWERED,
                    HashMap.of(
                            "service", replica.service(),
                            "spacingMs", spacing.orElse(-1),
                            "bound", rate.bound(cold.get())));
        }
        return spacing;
    }
}
